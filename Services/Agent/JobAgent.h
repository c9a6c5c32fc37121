#ifndef Services_Agent_JobAgent_h
#define Services_Agent_JobAgent_h

#include "LibJob/ControlView.h"
#include "LibJob/RunSupervisor.h"
#include "LibService/ControlExchange.h"
#include "LibService/EventLoop.h"
#include "LibService/LoopHttpServer.h"
#include "LibService/Metrics.h"
#include "Services/Agent/JobAgentLinks.h"
#include "Services/Agent/JobAgentSettings.h"
#include "platform/RunnerClient.h"
#include "platform/StoreClient.h"
#include "platform/TableFeed.h"

#include <memory>
#include <string>

namespace vanillaworks::agent {

/** The process beside an upstream on the users' platform. */
class JobAgent final : public job::RunSupervisorPort
{
public:
  JobAgent(JobAgentSettings aSettings, service::EventLoop& aLoop);
  ~JobAgent() override;

  /** Opens the ports and joins the entries. False if a port is taken. */
  bool Start();
  /** The settings file was read again. */
  void Reload(const JobAgentSettings& aSettings)
  {
    settings_.process.Reload(aSettings.process);
  }
  /** Graceful; the loop is stopped when it is done or the bound is reached. */
  void BeginStop();

  void CallStart(const job::StartCall& aCall) override;
  void CallStop(const job::StopCall& aCall) override;
  void CallHold(std::uint64_t aNumber, const job::HoldCall& aCall) override;
  void SendToEntry(const EntryId& aEntry, protocol::Message aMessage) override;
  void OnRunEnded(const EntryId& aEntry,
                  const SubmissionId& aJob,
                  const protocol::RunEnd& aEnd) override;
  void OnRunnerAdopted(const job::RunnerReport& aReport,
                       std::uint64_t aToken) override;

private:
  using Exchange = std::shared_ptr<service::LoopHttpExchange>;

  void OnRequest(const Exchange& aExchange);
  void OnReport(const Exchange& aExchange, const std::string& aRunner);
  void OnMetrics(service::LoopHttpExchange& aExchange);
  void ReadEntries();
  /** What a former process of this agent kept about the runner. */
  void ReadKeptReport();
  void OnTick();
  void CheckStop(MonotonicTime aNow);

  JobAgentSettings settings_;
  service::EventLoop& loop_;
  service::Metrics metrics_;
  job::ControlView control_;
  service::ControlExchange news_;
  job::RunSupervisor keeper_;
  JobAgentLinks links_;
  wire::RunnerClient runner_;
  wire::StoreClient store_;
  wire::TableFeed feed_;
  std::unique_ptr<service::LoopHttpServer> reports_;
  std::unique_ptr<service::LoopHttpServer> metricsPage_;
  bool stopping_ = false;
  MonotonicTime stopBeganAt_;
  MonotonicTime entriesReadAt_;
};

}

#endif
