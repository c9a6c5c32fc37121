#ifndef Services_Agent_AgentApp_h
#define Services_Agent_AgentApp_h

#include "LibDispatch/AgentCore.h"
#include "LibLink/LinkManager.h"
#include "LibLink/ReconnectBackoff.h"
#include "LibService/ControlFrameCounter.h"
#include "LibService/EventLoop.h"
#include "LibService/HttpServer.h"
#include "LibService/Metrics.h"
#include "Services/Agent/AgentSettings.h"
#include "Services/Agent/UpstreamClient.h"

#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace vanillaworks::agent {

/**
 * The standalone agent, the sidecar process of an upstream. Connects AgentCore,
 * which decides, to links, upstream, metrics and status endpoints. Must be used
 * on the event loop's thread, but for OnRequest, which status server threads
 * call.
 */
class AgentApp final
  : public dispatch::AgentPort
  , public link::LinkObserver
  , public service::HttpHandler
{
public:
  AgentApp(AgentSettings aSettings,
           service::EventLoop& aLoop,
           UpstreamClient& aUpstream);
  ~AgentApp() override;

  /**
   * Starts connecting to the entries and opens the status endpoints. Returns
   * false if their address can't be opened, for example because its port is in
   * use.
   */
  bool Start();
  /**
   * Stops gracefully: the event loop ends when all work is drained or the stop
   * timeout has passed.
   */
  void BeginStop();

  void RunOnUpstream(const protocol::Start& aTask,
                     MonotonicTime aDeadline) override;
  void SendToEntry(const EntryId& aEntry, protocol::Message aMessage) override;
  void CountRefusal(protocol::RefusalReason aReason) override;

  void OnLinkUp(link::LinkId aLink, link::LinkDirection aDirection) override;
  void OnLinkFrame(link::LinkId aLink, protocol::Frame aFrame) override;
  void OnLinkDown(link::LinkId aLink, link::LinkCloseReason aReason) override;

  void OnRequest(service::HttpRequest aRequest,
                 std::shared_ptr<service::HttpResponder> aResponder) override;

private:
  struct Session
  {
    std::string address;
    /** Empty until the entry's Welcome arrives. */
    EntryId entry;
    bool isUp = false;
    MonotonicTime lastReceivedAt;
    /** Send time of the latest received frame: microseconds, entry's clock. */
    std::int64_t peerSentAt = 0;
    MonotonicTime lastHeartbeatAt;
    /** Since when a frame from the entry has been expected. */
    MonotonicTime awaitingSince;
  };
  struct Endpoint
  {
    bool isFromSettings = false;
    link::ReconnectBackoff backoff;
  };

  void OnTick();
  void ConnectMissing(MonotonicTime aNow);
  void MaintainLinks(MonotonicTime aNow);
  /**
   * Asks entries to confirm the configuration version before its age exceeds
   * the limit above which no task may start.
   */
  void RevalidateConfiguration(MonotonicTime aNow);
  void SendOn(link::LinkId aLink, protocol::Message aMessage);
  protocol::Header MakeHeader(const Session& aSession) const;
  void OnWelcome(link::LinkId aLink,
                 Session& aSession,
                 const protocol::Welcome& aWelcome);
  void UpdateEntryAddresses(const std::vector<std::string>& aAddresses);
  void UpdateGauges();

  AgentSettings settings_;
  service::EventLoop& loop_;
  UpstreamClient& upstream_;
  dispatch::ConfigurationHolder configuration_;
  dispatch::AgentCore core_;
  link::LinkManager linkManager_;
  service::Metrics metrics_;
  std::array<prometheus::Counter*, 16> refusals_{};
  prometheus::Counter& starts_;
  service::ControlFrameCounter controlFrames_;
  std::unique_ptr<service::HttpServer> statusServer_;
  std::map<link::LinkId, Session> sessions_;
  std::map<EntryId, link::LinkId> linkByEntry_;
  std::map<std::string, Endpoint> endpoints_;
  MonotonicTime lastRevalidationAt_;
  EntryId lastAskedEntry_;
  MonotonicTime stopDeadline_;
  bool isStopping_ = false;
  std::atomic<bool> isReady_{ false };
};

}

#endif
