#ifndef Services_Agent_AgentApp_h
#define Services_Agent_AgentApp_h

#include "LibDispatch/AgentCore.h"
#include "LibLink/DialSchedule.h"
#include "LibLink/LinkHub.h"
#include "LibService/ControlFrameCounter.h"
#include "LibService/EventLoop.h"
#include "LibService/HttpServer.h"
#include "LibService/Metrics.h"
#include "Services/Agent/AgentSettings.h"
#include "Services/Agent/UpstreamRunner.h"

#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace vanillaworks::agent {

/** The process beside an upstream: joins the decisions to the world. */
class AgentApp final
  : public dispatch::AgentPort
  , public link::LinkObserver
  , public service::HttpHandler
{
public:
  AgentApp(AgentSettings aSettings,
           service::EventLoop& aLoop,
           UpstreamRunner& aUpstream);
  ~AgentApp() override;

  /** Dials the entries and opens the pages. False if a port is taken. */
  bool Start();
  /** Graceful; the loop is stopped when it is done or the bound is reached. */
  void BeginStop();

  void RunOnUpstream(const protocol::Start& aTask,
                     MonotonicTime aDeadline) override;
  void SendToEntry(const EntryId& aEntry, protocol::Message aMessage) override;
  void CountRefusal(protocol::RefusalReason aReason) override;

  void OnLinkUp(link::LinkId aLink, link::LinkRole aRole) override;
  void OnLinkFrame(link::LinkId aLink, protocol::Frame aFrame) override;
  void OnLinkDown(link::LinkId aLink, link::LinkCloseReason aReason) override;

  void OnRequest(service::HttpRequest aRequest,
                 std::shared_ptr<service::HttpResponder> aResponder) override;

private:
  struct Session
  {
    std::string address;
    /** Empty before the entry's Welcome. */
    EntryId entry;
    bool up = false;
    MonotonicTime lastReceived;
    std::int64_t peerSentAt = 0;
    MonotonicTime lastHeartbeat;
    /** Since when a frame from the entry has been due. */
    MonotonicTime awaitingSince;
  };
  struct Target
  {
    bool fromSettings = false;
    link::DialSchedule schedule;
  };

  void OnTick();
  void DialMissing(MonotonicTime aNow);
  void Beat(MonotonicTime aNow);
  /** Asks entries to vouch for the version before it gets too old. */
  void KeepFresh(MonotonicTime aNow);
  void SendOn(link::LinkId aLink, protocol::Message aMessage);
  protocol::Header MakeHeader(const Session& aSession) const;
  void OnWelcome(link::LinkId aLink,
                 Session& aSession,
                 const protocol::Welcome& aWelcome);
  void LearnEntries(const std::vector<std::string>& aAddresses);
  void UpdateGauges();

  AgentSettings settings_;
  service::EventLoop& loop_;
  UpstreamRunner& upstream_;
  dispatch::ConfigurationHolder configuration_;
  dispatch::AgentCore core_;
  link::LinkHub hub_;
  service::Metrics metrics_;
  std::array<prometheus::Counter*, 16> refusals_{};
  prometheus::Counter& starts_;
  service::ControlFrameCounter controlFrames_;
  std::unique_ptr<service::HttpServer> pages_;
  std::map<link::LinkId, Session> sessions_;
  std::map<EntryId, link::LinkId> byEntry_;
  std::map<std::string, Target> targets_;
  MonotonicTime lastFreshnessAsked_;
  EntryId askedLast_;
  MonotonicTime stopAt_;
  bool stopping_ = false;
  std::atomic<bool> ready_{ false };
};

}

#endif
