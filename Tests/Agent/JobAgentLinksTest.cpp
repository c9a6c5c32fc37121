#include "Services/Agent/JobAgentLinks.h"
#include "LibJob/RunSupervisorPort.h"
#include "Tests/LoopbackAddress.h"
#include "Tests/RunEventBase.h"

#include <catch2/catch.hpp>

using namespace vanillaworks;
using namespace vanillaworks::agent;
using namespace vanillaworks::tests;

namespace {
const std::string kAddress = LoopbackAddress(28432);

struct IgnoringPort final : job::RunSupervisorPort
{
  void CallStart(const job::StartCall&) override {}
  void CallStop(const job::StopCall&) override {}
  void CallHold(std::uint64_t, const job::HoldCall&) override {}
  void SendToEntry(const EntryId&, protocol::Message) override {}
  void OnRunEnded(const job::RunEnded&) override {}
  void OnUnexpectedRun(const job::RunKey&) override {}
  void SaveReport(const job::RunnerReport&) override {}
  void OnRunnerAdopted(const job::RunnerReport&, std::uint64_t) override {}
  void OnReportIgnored(const job::RunnerReport&) override {}
  void OnRunnerReleased(const job::RunnerReleased&) override {}
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
  void OnLinkFrame(link::LinkId, protocol::Frame aFrame) override
  {
    if (auto* cancelled =
          std::get_if<protocol::CancelledJobs>(&aFrame.message)) {
      cancelledJobs = cancelled->jobs;
    }
  }
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
  /** The latest that it was told of. */
  std::vector<SubmissionId> cancelledJobs;
};

/** What the links of an agent need. */
struct Fixture
{
  EventBase base = NewEventBase();
  job::ControlView control;
  service::ControlExchange exchange{ control, [](MonotonicTime) {} };
  IgnoringPort port;
  job::RunSupervisor supervisor{ UpstreamId("upstream"),
                                 Incarnation(1),
                                 {},
                                 control,
                                 port };
};
}

TEST_CASE("an entry that changes its name on a link loses the link")
{
  Fixture fixture;
  FakeEntry entry(fixture.base.get());
  REQUIRE_FALSE(entry.links.Listen(kAddress).IsError());
  JobAgentLinks agent(fixture.base.get(),
                      { kAddress },
                      fixture.control,
                      fixture.exchange,
                      fixture.supervisor);
  agent.OnTick(MonotonicNow());
  RunFor(fixture.base.get(), Milliseconds(100));
  REQUIRE(entry.id.has_value());
  entry.SendResume("entry-1");
  RunFor(fixture.base.get(), Milliseconds(50));
  REQUIRE(agent.LinkedEntryCount() == 1);
  entry.SendResume("entry-2");
  RunFor(fixture.base.get(), Milliseconds(100));
  CHECK(entry.isClosed);
  CHECK(agent.LinkedEntryCount() == 0);
  // Sends to all linked entries, none of which may be a closed link.
  agent.SendStatusNow();
}

TEST_CASE("an agent tells all other entries of cancelled jobs, new ones too")
{
  const std::string otherAddress = LoopbackAddress(28436);
  const std::string lateAddress = LoopbackAddress(28437);
  const std::vector jobs{ SubmissionId("0000000000000001") };
  Fixture fixture;
  FakeEntry entry(fixture.base.get());
  FakeEntry other(fixture.base.get());
  FakeEntry late(fixture.base.get());
  REQUIRE_FALSE(entry.links.Listen(kAddress).IsError());
  REQUIRE_FALSE(other.links.Listen(otherAddress).IsError());
  REQUIRE_FALSE(late.links.Listen(lateAddress).IsError());
  JobAgentLinks agent(fixture.base.get(),
                      { kAddress, otherAddress },
                      fixture.control,
                      fixture.exchange,
                      fixture.supervisor);
  agent.OnTick(MonotonicNow());
  RunFor(fixture.base.get(), Milliseconds(100));
  entry.SendResume("entry-1");
  other.SendResume("entry-2");
  RunFor(fixture.base.get(), Milliseconds(50));
  entry.links.Send(*entry.id, { {}, protocol::CancelledJobs{ jobs } });
  RunFor(fixture.base.get(), Milliseconds(100));
  CHECK(other.cancelledJobs == jobs);
  CHECK(entry.cancelledJobs.empty());
  agent.SetEntryAddresses({ kAddress, otherAddress, lateAddress });
  agent.OnTick(MonotonicNow());
  RunFor(fixture.base.get(), Milliseconds(100));
  late.SendResume("entry-3");
  RunFor(fixture.base.get(), Milliseconds(100));
  CHECK(late.cancelledJobs == jobs);
}

TEST_CASE("an entry that is no longer listed is forgotten")
{
  Fixture fixture;
  JobAgentLinks agent(fixture.base.get(),
                      { "127.0.0.1:28433" },
                      fixture.control,
                      fixture.exchange,
                      fixture.supervisor);
  agent.SetEntryAddresses({ "127.0.0.1:28434", "127.0.0.1:28435" });
  CHECK(agent.KnownEntryCount() == 3);
  agent.SetEntryAddresses({ "127.0.0.1:28435" });
  // The address from the settings stays: it may be the only way back.
  CHECK(agent.KnownEntryCount() == 2);
}
