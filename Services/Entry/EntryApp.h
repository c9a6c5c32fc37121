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

/** The process on an entry host: joins the decisions to the world. */
class EntryApp final
  : public dispatch::DispatcherPort
  , public EntryLinksListener
  , public service::HttpHandler
{
public:
  EntryApp(EntrySettings aSettings, service::EventLoop& aLoop);
  ~EntryApp() override;

  /** Opens the ports and joins the others. False if a port is taken. */
  bool Start();
  /** Graceful; the loop is stopped when it is done or the bound is reached. */
  void BeginStop();

  void SendToAgent(const UpstreamId& aUpstream,
                   protocol::Message aMessage) override;
  void Acknowledge(const UpstreamId& aUpstream, std::uint64_t aResult) override;
  void Claim(const SubmissionId& aSubmission,
             const std::string& aDigest,
             WallTime aDeadline) override;
  void Watch(const SubmissionId& aSubmission) override;
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
  using Replier = std::shared_ptr<service::HttpResponder>;
  struct Waiter
  {
    Replier replier;
    MonotonicTime since;
  };
  /** An accepted patch whose spread is awaited. */
  struct SpreadingPatch
  {
    ConfigurationVersion version;
    Replier replier;
    MonotonicTime until;
  };

  std::unique_ptr<platform::TableService> MakeTable(double aShare) const;
  void OnSubmissionRequest(const std::string& aBody,
                           bool aIsSingle,
                           Replier aResponder);
  void Submit(dispatch::SubmissionRequest aRequest, Replier aResponder);
  void OnSubmissionPath(const service::HttpRequest& aRequest,
                        Replier aResponder);
  void LookUp(const SubmissionId& aSubmission, Replier aResponder);
  void OnPatchRequest(const std::string& aBody, Replier aResponder);
  void OnPatchOutcome(const platform::PatchOutcome& aOutcome,
                      Replier aResponder);
  void AnswerSpreadPatches(MonotonicTime aNow);
  void OnSnapshot(ControlSnapshot aSnapshot);
  void OnTableAvailability(bool aIsAvailable);
  void Register(const protocol::AgentHello& aHello, bool aGone);
  void OnTick();
  void CheckFence();
  void CheckStop(MonotonicTime aNow);
  void UpdateGauges();
  void CountRefusal(std::string_view aReason);
  static void Send(const Replier& aResponder, const ApiReply& aReply);
  std::function<void(dispatch::ClaimOutcome)> ClaimCallback(
    const SubmissionId& aSubmission,
    bool aIsRecord);

  EntrySettings settings_;
  service::EventLoop& loop_;
  service::Metrics metrics_;
  dispatch::ConfigurationHolder configuration_;
  dispatch::Dispatcher dispatcher_;
  EntryLinks links_;
  std::unique_ptr<TableWorker> table_;
  std::unique_ptr<PatchWorker> patches_;
  std::unique_ptr<ControlWorker> control_;
  std::unique_ptr<service::HttpServer> http_;
  std::unordered_map<WaiterId, Waiter> waiters_;
  std::uint64_t nextWaiter_ = 1;
  std::list<SpreadingPatch> spreading_;
  std::map<UpstreamId, Incarnation> registering_;
  prometheus::Counter& starts_;
  prometheus::Histogram& latency_;
  MonotonicTime stopAt_;
  bool stopping_ = false;
  std::atomic<bool> ready_{ false };
};

}

#endif
