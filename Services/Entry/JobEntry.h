#ifndef Services_Entry_JobEntry_h
#define Services_Entry_JobEntry_h

#include "LibJob/ControlView.h"
#include "LibJob/JobDispatcher.h"
#include "LibService/ControlExchange.h"
#include "LibService/EventLoop.h"
#include "LibService/LoopHttpServer.h"
#include "Services/Entry/JobEntryLinks.h"
#include "Services/Entry/JobEntrySettings.h"
#include "Services/Entry/JobObserver.h"
#include "platform/JobCodec.h"
#include "platform/StoreClient.h"
#include "platform/TableFeed.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillaworks::entry {

/** The process on an entry host of the users' platform. */
class JobEntry final : public job::JobDispatcherPort
{
public:
  JobEntry(JobEntrySettings aSettings, service::EventLoop& aLoop);
  ~JobEntry() override;

  /** Opens the ports and joins the others. False if a port is taken. */
  bool Start();
  /** The settings file was read again. */
  void Reload(const JobEntrySettings& aSettings)
  {
    settings_.process.Reload(aSettings.process);
  }
  /** Graceful; the loop is stopped when it is done or the bound is reached. */
  void BeginStop();

  void SendToAgent(const UpstreamId& aUpstream,
                   protocol::Message aMessage) override;
  void Answer(WaiterId aWaiter,
              const job::JobRequest& aJob,
              const job::JobAnswer& aAnswer) override;
  void ScheduleWake() override;
  void OnPlaced(const job::TaskPlaced& aEvent) override
  {
    observer_.OnPlaced(aEvent);
  }
  void OnEnded(const job::TaskEnded& aEvent) override
  {
    observer_.OnEnded(aEvent);
  }

private:
  using Exchange = std::shared_ptr<service::LoopHttpExchange>;

  /** Came before this process had heard of any configuration. */
  struct EarlyRequest
  {
    Exchange exchange;
    MonotonicTime arrival;
  };

  void OnRequest(Exchange aExchange);
  void KeepEarly(const Exchange& aExchange);
  /** Serves what came early, or rejects what has waited too long. */
  void ServeEarly(MonotonicTime aNow);
  void Serve(const Exchange& aExchange, MonotonicTime aArrival);
  void OnJob(const Exchange& aExchange,
             const protocol::RouteRow& aRoute,
             MonotonicTime aArrival);
  /** A stopping process takes only what ends before its own end. */
  bool EndsBeforeStop(const job::JobRequest& aJob) const;
  /** By the configuration in force, nobody serves the path. */
  void OnNoRoute(const Exchange& aExchange);
  void OnJobPath(const Exchange& aExchange, const SubmissionId& aJob);
  void Reject(const Exchange& aExchange, std::string_view aReason);
  void OnReadiness(const Exchange& aExchange);
  void OnMetrics(const Exchange& aExchange);
  /** Joins the list of entries, again until the store has taken it. */
  void KeepMembership();
  void OnMembers(const wire::TableFeed::Rows& aRows);
  void OnTick();
  void CheckStop(MonotonicTime aNow);
  Milliseconds WaitOf(const service::LoopHttpExchange& aExchange,
                      const protocol::RouteRow& aRoute) const;
  static void Send(service::LoopHttpExchange& aExchange,
                   const wire::Reply& aReply);

  JobEntrySettings settings_;
  service::EventLoop& loop_;
  JobObserver observer_;
  job::ControlView control_;
  service::ControlExchange news_;
  job::JobDispatcher dispatcher_;
  JobEntryLinks links_;
  wire::StoreClient store_;
  wire::TableFeed feed_;
  /** The list of entries. */
  wire::TableFeed members_;
  std::unique_ptr<service::LoopHttpServer> front_;
  std::unique_ptr<service::LoopHttpServer> readiness_;
  std::unique_ptr<service::LoopHttpServer> metricsPage_;
  std::unordered_map<WaiterId, Exchange> waiters_;
  std::vector<EarlyRequest> early_;
  MonotonicTime earlyUntil_;
  std::uint64_t nextWaiter_ = 1;
  bool stopping_ = false;
  bool isMember_ = false;
  /** When a stop ends, at the latest. */
  MonotonicTime stopBound_;
  MonotonicTime stopBeganAt_;
  MonotonicTime callersCheckedAt_;
};

}

#endif
