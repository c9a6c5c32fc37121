#include "LibDispatch/Dispatcher.h"
#include "LibDispatch/LearnedRouting.h"

#include <catch2/catch.hpp>
#include <string>

using namespace vanillaworks;
using namespace vanillaworks::dispatch;

namespace {
const EntryId kSelf("entry-1");
const EntryIdentity kLostOwner{ EntryId("entry-2"), Incarnation(1) };
const SubmissionId kSubmission("s1");
const std::string kDigest("d");

/** An entry whose table, agents and callers are played by the test. */
struct Fixture final : DispatcherPort
{
  void SendToAgent(const UpstreamId&, protocol::Message aMessage) override
  {
    if (const auto* start = std::get_if<protocol::Start>(&aMessage)) {
      starts.push_back(start->key);
    } else if (const auto* fence = std::get_if<protocol::Fence>(&aMessage)) {
      fences.push_back(*fence);
    }
  }
  void Acknowledge(const UpstreamId&, std::uint64_t) override {}
  void Claim(const SubmissionId&, const std::string&, WallTime) override {}
  void PollClaim(const SubmissionId&) override {}
  void TakeOver(const SubmissionId&,
                const std::string&,
                const EntryIdentity& aOwner,
                WallTime) override
  {
    takeovers.push_back(aOwner);
  }
  void Record(const Answer& aAnswer, const std::string&, WallTime) override
  {
    recorded.push_back(aAnswer);
  }
  void Deliver(WaiterId, const Answer& aAnswer) override
  {
    delivered.push_back(aAnswer);
  }
  void CountRetry(RetryReason) override {}

  std::vector<protocol::TaskKey> Hello(const char* aUpstream,
                                       std::uint64_t aIncarnation)
  {
    protocol::AgentHello hello;
    hello.upstream = UpstreamId(aUpstream);
    hello.incarnation = Incarnation(aIncarnation);
    hello.domain = FailureDomainId("pier-end");
    hello.kinds = { TaskKind("count") };
    hello.slots = 4;
    hello.registered = true;
    auto outstanding = dispatcher.OnAgentHello(hello, now);
    dispatcher.OnAgentReady(hello.upstream, now);
    return outstanding;
  }
  void Receive(const char* aUpstream, protocol::Message aMessage)
  {
    dispatcher.OnAgentFrame(
      UpstreamId(aUpstream), { {}, std::move(aMessage) }, now);
  }
  void Submit(Durability aDurability)
  {
    SubmissionRequest request;
    if (aDurability == Durability::Claimed) {
      request.id = kSubmission;
    }
    request.durability = aDurability;
    request.digest = kDigest;
    request.deadline = wall + Milliseconds(30'000);
    request.tasks.push_back({ TaskId("0"), TaskKind("count"), "", {} });
    dispatcher.Submit(std::move(request), WaiterId(1), wall, now);
  }
  /** Submits what a lost entry owns, so that its claim is taken over. */
  void SubmitOfLostOwner()
  {
    dispatcher.Members().Observe({}, now);
    Submit(Durability::Claimed);
    dispatcher.OnClaim(kSubmission, ClaimHeld{ kLostOwner, kDigest }, now);
  }
  void OnTakenOver(std::vector<UpstreamRow> aUpstreams)
  {
    ClaimTakenOver taken;
    taken.owner = { kSelf, Incarnation(1) };
    taken.fences.emplace(kLostOwner.entry, kLostOwner.incarnation);
    taken.sequence = 5;
    taken.upstreams = std::move(aUpstreams);
    dispatcher.OnClaim(kSubmission, taken, now);
    Advance(Milliseconds(20));
  }
  void Advance(Milliseconds aTime)
  {
    now += aTime;
    dispatcher.OnTick(now);
  }

  MonotonicTime now{ std::chrono::hours(1) };
  WallTime wall{ std::chrono::hours(2) };
  ConfigurationHolder configuration;
  std::vector<protocol::TaskKey> starts;
  std::vector<protocol::Fence> fences;
  std::vector<EntryIdentity> takeovers;
  std::vector<Answer> recorded;
  std::vector<Answer> delivered;
  Dispatcher dispatcher{ { kSelf, Incarnation(1) },
                         {},
                         std::make_unique<LearnedRouting>(1),
                         configuration,
                         *this };
};

UpstreamRow
RowOf(const char* aUpstream)
{
  return { UpstreamId(aUpstream), Incarnation(1), 1, false, false };
}
}

TEST_CASE("a repeatable request that was sent before its entry began anew is "
          "answered as not run")
{
  Fixture fixture;
  fixture.Hello("u1", 1);
  fixture.Submit(Durability::Repeatable);
  REQUIRE(fixture.starts.size() == 1);
  fixture.dispatcher.StartNewIncarnation(Incarnation(2), fixture.now);
  fixture.Advance(Milliseconds(40'000));
  REQUIRE(fixture.delivered.size() == 1);
  CHECK(fixture.delivered[0].state != AnswerState::NotRun);
}

TEST_CASE("a task that ran at an agent's lost incarnation is placed again "
          "after a takeover")
{
  Fixture fixture;
  fixture.Hello("u1", 1);
  fixture.Hello("u2", 1);
  fixture.SubmitOfLostOwner();
  fixture.OnTakenOver({ RowOf("u1"), RowOf("u2") });
  REQUIRE(fixture.fences.size() == 2);
  auto round = fixture.fences[0].round;
  fixture.Receive(
    "u1", protocol::FenceReport{ round, { { kSubmission, 0 } }, {}, {} });
  fixture.Hello("u1", 2);
  fixture.Receive("u2", protocol::FenceReport{ round, {}, {}, {} });
  auto outstanding = fixture.Hello("u1", 2);
  fixture.Receive("u1", protocol::Reconcile{ outstanding });
  CHECK(fixture.starts.empty());
  REQUIRE(fixture.recorded.size() == 1);
  CHECK(fixture.recorded[0].state == AnswerState::MayHaveRun);
}

TEST_CASE("a claim that was taken over for a fenced incarnation is run by the "
          "next one")
{
  Fixture fixture;
  fixture.Hello("u1", 1);
  fixture.SubmitOfLostOwner();
  REQUIRE(fixture.takeovers.size() == 1);
  fixture.dispatcher.StartNewIncarnation(Incarnation(2), fixture.now);
  fixture.Hello("u1", 1);
  fixture.OnTakenOver({ RowOf("u1") });
  for (const auto& fence : fixture.fences) {
    fixture.Receive("u1", protocol::FenceReport{ fence.round, {}, {}, {} });
  }
  CHECK(fixture.starts.empty());
  REQUIRE(fixture.takeovers.size() == 2);
  CHECK(fixture.takeovers[1] == EntryIdentity{ kSelf, Incarnation(1) });
}
