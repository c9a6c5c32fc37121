#ifndef Services_Entry_JobEntry_h
#define Services_Entry_JobEntry_h

#include "LibJob/ControlView.h"
#include "LibJob/JobDispatcher.h"
#include "LibJob/StartupHold.h"
#include "LibService/ClientRegistry.h"
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

/**
 * The entry process on the users' platform: accepts jobs over HTTP, dispatches
 * them to agents, and serves readiness and metrics. Used only on the event
 * loop's thread.
 */
class JobEntry final : public job::JobDispatcherPort
{
public:
  JobEntry(JobEntrySettings aSettings, service::EventLoop& aLoop);
  ~JobEntry() override;

  /**
   * Opens the listening addresses and begins to register this entry in the
   * store. Returns false if an address can't be opened, for example because its
   * port is in use.
   */
  bool Start();
  /** Applies the settings that may change while the process runs. */
  void Reload(const JobEntrySettings& aSettings)
  {
    settings_.process.Reload(aSettings.process);
  }
  /**
   * Begins a graceful stop. The event loop is stopped once all jobs are
   * answered and the minimum duration of a stop has passed, or at the stop
   * deadline.
   */
  void BeginStop();

  void SendToAgent(const UpstreamId& aUpstream,
                   protocol::Message aMessage) override;
  void Answer(WaiterId aWaiter,
              const job::JobRequest& aJob,
              const job::JobAnswer& aAnswer) override;
  bool IsCallerConnected(WaiterId aWaiter) override;
  void ScheduleWake() override;
  void OnPlaced(const job::TaskPlaced& aEvent) override
  {
    observer_.OnPlaced(aEvent);
  }
  void OnEnded(const job::TaskEnded& aEvent) override
  {
    observer_.OnEnded(aEvent);
  }
  void OnReleased(const job::TaskReleased& aEvent) override
  {
    observer_.OnReleased(aEvent);
  }

private:
  using Exchange = std::shared_ptr<service::LoopHttpExchange>;

  /** A request that arrived before this process knew any configuration. */
  struct HeldRequest
  {
    Exchange exchange;
    MonotonicTime arrival;
  };

  void OnRequest(Exchange aExchange);
  void HoldUntilConfigured(const Exchange& aExchange);
  /** Serves the held requests, or rejects them after the maximum hold time. */
  void ServeHeldRequests(MonotonicTime aNow);
  void Serve(const Exchange& aExchange, MonotonicTime aArrival);
  void OnNewJob(const Exchange& aExchange,
                const protocol::RouteRow& aRoute,
                MonotonicTime aArrival);
  /** A stopping process accepts only jobs that end before its own deadline. */
  bool CanFinishBeforeStop(const job::JobRequest& aJob) const;
  /** Rejects a path that has no route in the current configuration. */
  void OnNoRoute(const Exchange& aExchange);
  void OnExistingJob(const Exchange& aExchange, const SubmissionId& aJob);
  void Reject(const Exchange& aExchange, std::string_view aReason);
  void OnReadiness(const Exchange& aExchange);
  void OnMetrics(const Exchange& aExchange);
  /** Writes this entry to the list of entries until the store confirms it. */
  void RegisterAsMember();
  void OnMembers(const wire::TableFeed::Rows& aRows);
  void OnTick();
  void CheckStop(MonotonicTime aNow);
  static void Send(service::LoopHttpExchange& aExchange,
                   const wire::Reply& aReply);

  JobEntrySettings settings_;
  service::EventLoop& loop_;
  JobObserver observer_;
  job::ControlView control_;
  service::ControlExchange controlExchange_;
  job::JobDispatcher dispatcher_;
  service::ClientRegistry clients_;
  JobEntryLinks links_;
  wire::StoreClient store_;
  wire::TableFeed operatorFeed_;
  /** Watches the list of entries. */
  wire::TableFeed memberFeed_;
  std::unique_ptr<service::LoopHttpServer> frontServer_;
  std::unique_ptr<service::LoopHttpServer> readinessServer_;
  std::unique_ptr<service::LoopHttpServer> metricsServer_;
  std::unordered_map<WaiterId, Exchange> waiters_;
  std::vector<HeldRequest> heldRequests_;
  job::StartupHold startupHold_;
  std::uint64_t nextWaiter_ = 1;
  bool isStopping_ = false;
  bool isMember_ = false;
  /** The latest time at which a stop ends. */
  MonotonicTime stopDeadline_;
  MonotonicTime stopStartedAt_;
  MonotonicTime lastCallerCheckAt_;
};

}

#endif
