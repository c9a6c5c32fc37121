#include "Services/Entry/JobEntryLinks.h"
#include "LibJob/JobDispatcherPort.h"
#include "Tests/LoopbackAddress.h"
#include "Tests/RunEventBase.h"

#include <catch2/catch.hpp>

using namespace vanillaworks;
using namespace vanillaworks::entry;
using namespace vanillaworks::tests;

namespace {
const std::string kAddress = LoopbackAddress(28431);

struct IgnoringPort final : job::JobDispatcherPort
{
  void SendToAgent(const UpstreamId&, protocol::Message) override {}
  void Answer(WaiterId, const job::JobRequest&, const job::JobAnswer&) override
  {
  }
  bool IsCallerConnected(WaiterId) override { return true; }
  void ScheduleWake() override {}
  void OnPlaced(const job::TaskPlaced&) override {}
  void OnEnded(const job::TaskEnded&) override {}
  void OnReleased(const job::TaskReleased&) override {}
};

/** The agent's end of a link; sends what a test tells it to. */
struct FakeAgent final : link::LinkObserver
{
  explicit FakeAgent(event_base* aBase)
    : links(aBase, {}, *this)
    , id(*links.Connect(kAddress))
  {
  }
  void OnLinkUp(link::LinkId, link::LinkDirection) override { isUp = true; }
  void OnLinkFrame(link::LinkId, protocol::Frame) override {}
  void OnLinkDown(link::LinkId, link::LinkCloseReason) override
  {
    isClosed = true;
  }
  void SendStatus(const char* aUpstream)
  {
    protocol::UpstreamStatus status;
    status.upstream = UpstreamId(aUpstream);
    status.incarnation = Incarnation(1);
    links.Send(id, { {}, std::move(status) });
  }

  link::LinkManager links;
  link::LinkId id;
  bool isUp = false;
  bool isClosed = false;
};
}

TEST_CASE("a status for another upstream than the link's closes the link and "
          "changes nothing")
{
  auto base = NewEventBase();
  job::ControlView control;
  service::ControlExchange exchange(control, [](MonotonicTime) {});
  IgnoringPort port;
  job::JobDispatcher dispatcher({}, control, 1, port);
  JobEntryLinks entry(base.get(),
                      EntryId("entry"),
                      Incarnation(1),
                      control,
                      exchange,
                      dispatcher);
  REQUIRE_FALSE(entry.Listen(kAddress).IsError());
  FakeAgent agent(base.get());
  RunFor(base.get(), Milliseconds(100));
  REQUIRE(agent.isUp);
  agent.SendStatus("upstream-1");
  RunFor(base.get(), Milliseconds(50));
  REQUIRE(entry.LinkCount() == 1);
  agent.SendStatus("upstream-2");
  RunFor(base.get(), Milliseconds(100));
  CHECK(agent.isClosed);
  CHECK(entry.LinkCount() == 0);
  CHECK_FALSE(dispatcher.Upstreams().contains(UpstreamId("upstream-2")));
}
