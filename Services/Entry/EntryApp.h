#ifndef Services_Entry_EntryApp_h
#define Services_Entry_EntryApp_h

#include "LibDispatch/Dispatcher.h"
#include "LibService/EventLoop.h"
#include "LibService/HttpServer.h"
#include "LibService/Metrics.h"
#include "Services/Entry/ControlWorker.h"
#include "Services/Entry/EntryApi.h"
#include "Services/Entry/EntryLinks.h"
#include "Services/Entry/EntrySettings.h"
#include "Services/Entry/PatchWorker.h"
#include "Services/Entry/TableWorker.h"

#include <atomic>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace vanillaworks::entry {

/**
 * The entry process: connects the dispatcher to the links, the table, the HTTP
 * API and the metrics. Start must be called before the loop runs. All other
 * methods run on the loop's thread, except OnRequest, which runs on the HTTP
 * server's threads.
 */
class EntryApp final
  : public dispatch::DispatcherPort
  , public EntryLinksListener
  , public service::HttpHandler
{
public:
  EntryApp(EntrySettings aSettings, service::EventLoop& aLoop);
  ~EntryApp() override;

  /**
   * Opens the listening addresses and starts the worker threads. Returns false
   * if an address can't be opened, for example because its port is in use.
   */
  bool Start();
  /**
   * Begins a graceful stop. The event loop is stopped once all work is done or
   * the stop timeout has passed.
   */
  void BeginStop();

  void SendToAgent(const UpstreamId& aUpstream,
                   protocol::Message aMessage) override;
  void Acknowledge(const UpstreamId& aUpstream, std::uint64_t aResult) override;
  void Claim(const SubmissionId& aSubmission,
             const std::string& aDigest,
             WallTime aDeadline) override;
  void PollClaim(const SubmissionId& aSubmission) override;
  void TakeOver(const SubmissionId& aSubmission,
                const std::string& aDigest,
                const dispatch::EntryIdentity& aOwner,
                WallTime aDeadline) override;
  void Record(const dispatch::Answer& aAnswer,
              const std::string& aDigest,
              WallTime aDeadline) override;
  void Deliver(WaiterId aWaiter, const dispatch::Answer& aAnswer) override;
  void CountRetry(dispatch::RetryReason aReason) override;

  const dispatch::EntryIdentity& Self() const override;
  std::vector<protocol::TaskKey> OnAgentHello(
    const protocol::AgentHello& aHello) override;
  void OnAgentReady(const protocol::AgentHello& aHello) override;
  void OnAgentFrame(const UpstreamId& aUpstream,
                    const protocol::Frame& aFrame) override;
  void OnAgentDown(const UpstreamId& aUpstream) override;
  bool HasOutstanding(const UpstreamId& aUpstream) const override;
  void OnConfigurationAdopted() override;

  void OnRequest(service::HttpRequest aRequest,
                 std::shared_ptr<service::HttpResponder> aResponder) override;

private:
  using Responder = std::shared_ptr<service::HttpResponder>;
  /** A caller that waits for a submission's answer. */
  struct Waiter
  {
    Responder responder;
    MonotonicTime since;
  };
  /** An accepted patch whose propagation to entries and agents is awaited. */
  struct PropagatingPatch
  {
    ConfigurationVersion version;
    Responder responder;
    MonotonicTime deadline;
  };

  /** aRateShare: the share of the table's rate limits, from 0 to 1. */
  std::unique_ptr<platform::TableService> MakeTable(double aRateShare) const;
  void OnSubmissionRequest(const std::string& aBody,
                           bool aIsSingle,
                           Responder aResponder);
  void Submit(dispatch::SubmissionRequest aRequest, Responder aResponder);
  void OnSubmissionPath(const service::HttpRequest& aRequest,
                        Responder aResponder);
  /** Answers a query for a submission that only the table may know. */
  void LookUpClaim(const SubmissionId& aSubmission, Responder aResponder);
  void OnPatchRequest(const std::string& aBody, Responder aResponder);
  void OnPatchOutcome(const platform::PatchOutcome& aOutcome,
                      Responder aResponder);
  /** Answers patches that reached all entries and agents or timed out. */
  void AnswerPropagatedPatches(MonotonicTime aNow);
  void OnSnapshot(ControlSnapshot aSnapshot);
  void OnTableAvailabilityChanged(bool aIsAvailable);
  /**
   * Writes the agent's registration to the table. aIsGone: whether the agent
   * has stopped with nothing left.
   */
  void Register(const protocol::AgentHello& aHello, bool aIsGone);
  void OnTick();
  void StartNewIncarnationIfFenced();
  void CheckStop(MonotonicTime aNow);
  void UpdateGauges();
  void CountRefusal(std::string_view aReason);
  static void Send(const Responder& aResponder, const ApiReply& aReply);
  std::function<void(dispatch::ClaimOutcome)> MakeClaimCallback(
    const SubmissionId& aSubmission,
    bool aIsRecord);

  EntrySettings settings_;
  service::EventLoop& loop_;
  service::Metrics metrics_;
  dispatch::ConfigurationHolder configuration_;
  dispatch::Dispatcher dispatcher_;
  EntryLinks links_;
  std::unique_ptr<TableWorker> tableWorker_;
  std::unique_ptr<PatchWorker> patchWorker_;
  std::unique_ptr<ControlWorker> controlWorker_;
  std::unique_ptr<service::HttpServer> httpServer_;
  std::unordered_map<WaiterId, Waiter> waiters_;
  std::uint64_t nextWaiter_ = 1;
  std::list<PropagatingPatch> propagatingPatches_;
  /**
   * By agent: the incarnation of the last registration sent, until it is
   * confirmed or the agent's link goes down.
   */
  std::map<UpstreamId, Incarnation> registeringIncarnations_;
  prometheus::Counter& starts_;
  prometheus::Histogram& latency_;
  MonotonicTime stopDeadline_;
  bool isStopping_ = false;
  std::atomic<bool> isReady_{ false };
};

}

#endif
