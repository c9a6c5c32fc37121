#include "Services/Agent/JobAgentLinks.h"
#include "LibJob/RunSupervisorPort.h"

#include <catch2/catch.hpp>
#include <event2/event.h>
#include <memory>

using namespace vanillaworks;
using namespace vanillaworks::agent;

namespace {
constexpr const char* kAddress = "127.0.0.1:28432";

struct IgnoringPort final : job::RunSupervisorPort
{
  void CallStart(const job::StartCall&) override {}
  void CallStop(const job::StopCall&) override {}
  void CallHold(std::uint64_t, const job::HoldCall&) override {}
  void SendToEntry(const EntryId&, protocol::Message) override {}
  void OnRunEnded(const EntryId&,
                  const SubmissionId&,
                  const protocol::RunEnd&) override
  {
  }
  void SaveReport(const job::RunnerReport&) override {}
  void OnRunnerAdopted(const job::RunnerReport&, std::uint64_t) override {}
};

/** The entry's end of a link; sends what a test tells it to. */
struct FakeEntry final : link::LinkObserver
{
  explicit FakeEntry(event_base* aBase)
    : links(aBase, {}, *this)
  {
  }
  void OnLinkUp(link::LinkId aLink, link::LinkDirection) override
  {
    id = aLink;
  }
  void OnLinkFrame(link::LinkId, protocol::Frame) override {}
  void OnLinkDown(link::LinkId, link::LinkCloseReason) override
  {
    isClosed = true;
  }
  void SendResume(const char* aEntry)
  {
    links.Send(
      *id, { {}, protocol::RunResume{ EntryId(aEntry), Incarnation(1), {} } });
  }

  link::LinkManager links;
  std::optional<link::LinkId> id;
  bool isClosed = false;
};

void
RunFor(event_base* aBase, Milliseconds aTime)
{
  constexpr Milliseconds kPause{ 2 };
  for (Milliseconds passed{ 0 }; passed < aTime; passed += kPause) {
    event_base_loop(aBase, EVLOOP_NONBLOCK);
    timespec pause{ 0, std::chrono::nanoseconds(kPause).count() };
    nanosleep(&pause, nullptr);
  }
}
}

TEST_CASE("an entry that changes its name on a link loses the link")
{
  std::unique_ptr<event_base, decltype(&event_base_free)> base(
    event_base_new(), &event_base_free);
  job::ControlView control;
  service::ControlExchange exchange(control, [](MonotonicTime) {});
  IgnoringPort port;
  job::RunSupervisor supervisor(
    UpstreamId("upstream"), Incarnation(1), {}, control, port);
  FakeEntry entry(base.get());
  REQUIRE_FALSE(entry.links.Listen(kAddress).IsError());
  JobAgentLinks agent(base.get(), { kAddress }, control, exchange, supervisor);
  agent.OnTick(MonotonicNow());
  RunFor(base.get(), Milliseconds(100));
  REQUIRE(entry.id.has_value());
  entry.SendResume("entry-1");
  RunFor(base.get(), Milliseconds(50));
  REQUIRE(agent.LinkedEntryCount() == 1);
  entry.SendResume("entry-2");
  RunFor(base.get(), Milliseconds(100));
  CHECK(entry.isClosed);
  CHECK(agent.LinkedEntryCount() == 0);
  // Sends to all linked entries, none of which may be a closed link.
  agent.SendStatusNow();
}

TEST_CASE("an entry that is no longer listed is forgotten")
{
  std::unique_ptr<event_base, decltype(&event_base_free)> base(
    event_base_new(), &event_base_free);
  job::ControlView control;
  service::ControlExchange exchange(control, [](MonotonicTime) {});
  IgnoringPort port;
  job::RunSupervisor supervisor(
    UpstreamId("upstream"), Incarnation(1), {}, control, port);
  JobAgentLinks agent(
    base.get(), { "127.0.0.1:28433" }, control, exchange, supervisor);
  agent.SetEntryAddresses({ "127.0.0.1:28434", "127.0.0.1:28435" });
  CHECK(agent.KnownEntryCount() == 3);
  agent.SetEntryAddresses({ "127.0.0.1:28435" });
  // The address from the settings stays: it may be the only way back.
  CHECK(agent.KnownEntryCount() == 2);
}
