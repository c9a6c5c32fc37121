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
#include <vector>

namespace vanillaworks::agent {

/**
 * The agent on the users' platform, the sidecar process of an upstream.
 * Connects RunSupervisor, which decides, to links, runner, store and metrics.
 * Must be used on the event loop's thread only.
 */
class JobAgent final : public job::RunSupervisorPort
{
public:
  JobAgent(JobAgentSettings aSettings, service::EventLoop& aLoop);
  ~JobAgent() override;

  /**
   * Opens the listening addresses and starts connecting to the entries. Returns
   * false if an address can't be opened, for example because its port is in
   * use.
   */
  bool Start();
  /** Applies the reloadable part of a settings file that was read again. */
  void Reload(const JobAgentSettings& aSettings)
  {
    settings_.process.Reload(aSettings.process);
  }
  /**
   * Stops gracefully: the event loop ends when all runs have ended or shortly
   * before the grace period is over.
   */
  void BeginStop();

  void CallStart(const job::StartCall& aCall) override;
  void CallStop(const job::StopCall& aCall) override;
  void CallHold(std::uint64_t aNumber, const job::HoldCall& aCall) override;
  void SendToEntry(const EntryId& aEntry, protocol::Message aMessage) override;
  void OnRunEnded(const job::RunEnded& aEvent) override;
  void OnUnexpectedRun(const job::RunKey& aRun) override;
  void SaveReport(const job::RunnerReport& aReport) override;
  void OnReportIgnored(const job::RunnerReport& aReport) override;
  void OnRunnerAdopted(const job::RunnerReport& aReport,
                       std::uint64_t aToken) override;
  void OnRunnerReleased(const job::RunnerReleased& aEvent) override;

private:
  using Exchange = std::shared_ptr<service::LoopHttpExchange>;

  void OnRequest(const Exchange& aExchange);
  void OnReport(const Exchange& aExchange, const std::string& aRunner);
  void OnLeaving(const Exchange& aExchange, const std::string& aRunner);
  void OnMetrics(service::LoopHttpExchange& aExchange);
  void ReadEntries();
  /**
   * Loads the runner report that a previous process of this agent stored, so
   * that the runner is verified and cleared before its next report, by which
   * runs start.
   */
  void LoadStoredRunnerReport();
  /** Records that it is unknown whether the run has started. */
  void OnStartUnanswered(const job::RunKey& aKey);
  void OnTick();
  void CheckStop(MonotonicTime aNow);

  JobAgentSettings settings_;
  service::EventLoop& loop_;
  service::Metrics metrics_;
  job::ControlView control_;
  service::ControlExchange controlExchange_;
  job::RunSupervisor supervisor_;
  service::ClientRegistry clients_;
  JobAgentLinks links_;
  wire::RunnerClient runner_;
  wire::StoreClient store_;
  wire::TableFeed feed_;
  std::unique_ptr<service::LoopHttpServer> controlServer_;
  std::unique_ptr<service::LoopHttpServer> metricsServer_;
  /** The runner's announcements that it shuts down, until it is released. */
  std::vector<Exchange> announcements_;
  bool isStopping_ = false;
  MonotonicTime stopStartedAt_;
  MonotonicTime lastEntriesReadAt_;
};

}

#endif
