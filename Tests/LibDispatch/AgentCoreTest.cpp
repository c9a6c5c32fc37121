#include "LibDispatch/AgentCore.h"

#include <catch2/catch.hpp>
#include <string_view>

using namespace vanillaworks;
using namespace vanillaworks::dispatch;

namespace {
const EntryId kFormerOwner("entry-1");
const EntryId kNewOwner("entry-2");
constexpr const char* kAnswer = "answer";

/** An agent with two linked entries, whose upstream ends tasks on command. */
struct Fixture final : AgentPort
{
  Fixture()
  {
    core.OnWelcome(MakeWelcome(kFormerOwner));
    core.OnWelcome(MakeWelcome(kNewOwner));
    Receive(kFormerOwner, protocol::Registered{});
  }

  void RunOnUpstream(const protocol::Start& aTask, MonotonicTime) override
  {
    started.push_back(aTask.key);
  }
  void SendToEntry(const EntryId& aEntry, protocol::Message aMessage) override
  {
    if (const auto* result = std::get_if<protocol::TaskResult>(&aMessage)) {
      results.emplace_back(aEntry, *result);
    }
  }
  void CountRefusal(protocol::RefusalReason) override {}

  static protocol::AgentHello MakeIdentity()
  {
    protocol::AgentHello identity;
    identity.upstream = UpstreamId("u1");
    identity.incarnation = Incarnation(1);
    identity.domain = FailureDomainId("pier-end");
    return identity;
  }
  static AgentLimits MakeLimits()
  {
    AgentLimits limits;
    limits.gate.slots = 4;
    limits.heldResultBytes = 2 * std::string_view(kAnswer).size();
    return limits;
  }
  static protocol::Welcome MakeWelcome(const EntryId& aEntry)
  {
    protocol::Welcome welcome;
    welcome.entry = aEntry;
    welcome.incarnation = Incarnation(1);
    return welcome;
  }
  void Receive(const EntryId& aFrom,
               protocol::Message aMessage,
               std::vector<std::uint64_t> aAcknowledged = {})
  {
    protocol::Frame frame{ {}, std::move(aMessage) };
    frame.header.echo = ToMicroseconds(now);
    frame.header.version = configuration.Current()->version;
    frame.header.versionAgeUs = 0;
    frame.header.acknowledged = std::move(aAcknowledged);
    core.OnFrame(aFrom, frame, now);
  }
  protocol::TaskKey StartTask(const char* aSubmission, Milliseconds aRemaining)
  {
    protocol::Start start;
    start.key = { SubmissionId(aSubmission), 0 };
    start.kind = TaskKind("count");
    start.remaining =
      std::chrono::duration_cast<Microseconds>(aRemaining).count();
    Receive(kFormerOwner, start);
    return start.key;
  }
  void EndTask(const protocol::TaskKey& aKey)
  {
    core.OnTaskEnded(
      aKey, protocol::ResultCode::Completed, kAnswer, Microseconds(1), now);
  }
  /** Asks for all held results, as an entry does on a new link. */
  std::size_t ResendHeld(const EntryId& aEntry)
  {
    results.clear();
    core.OnWelcome(MakeWelcome(aEntry));
    return results.size();
  }

  MonotonicTime now{ std::chrono::hours(1) };
  ConfigurationHolder configuration;
  std::vector<protocol::TaskKey> started;
  std::vector<std::pair<EntryId, protocol::TaskResult>> results;
  AgentCore core{ MakeIdentity(), MakeLimits(), configuration, *this };
};
}

TEST_CASE("an acknowledgement of a former owner keeps the result for the owner")
{
  Fixture fixture;
  auto key = fixture.StartTask("s1", Milliseconds(5000));
  REQUIRE(fixture.started.size() == 1);
  fixture.EndTask(key);
  REQUIRE(fixture.results.size() == 1);
  auto number = fixture.results[0].second.number;
  // The other entry takes the submission over before the former owner's
  // acknowledgement arrives.
  protocol::Fence fence;
  fence.fences.emplace(kFormerOwner, Incarnation(1));
  fence.submissions.push_back(key.submission);
  fixture.Receive(kNewOwner, fence);
  fixture.Receive(kFormerOwner, protocol::Heartbeat{ false }, { number });
  CHECK(fixture.ResendHeld(kNewOwner) == 1);
  // The owner's own acknowledgement drops it.
  fixture.Receive(kNewOwner, protocol::Heartbeat{ false }, { number });
  CHECK(fixture.ResendHeld(kNewOwner) == 0);
}

TEST_CASE("an expired result doesn't take the place of one that is needed")
{
  // The limit has room for two results.
  Fixture fixture;
  auto lengthy = fixture.StartTask("s1", Milliseconds(600'000));
  auto brief = fixture.StartTask("s2", Milliseconds(1000));
  REQUIRE(fixture.started.size() == 2);
  fixture.EndTask(lengthy);
  fixture.EndTask(brief);
  REQUIRE(fixture.ResendHeld(kFormerOwner) == 2);
  fixture.now += std::chrono::seconds(120);
  fixture.core.OnTick(fixture.now);
  auto next = fixture.StartTask("s3", Milliseconds(1000));
  fixture.EndTask(next);
  CHECK(fixture.ResendHeld(kFormerOwner) == 2);
}

TEST_CASE("a fenced incarnation starts a task by a link that opens late")
{
  Fixture fixture;
  auto next = Fixture::MakeWelcome(kFormerOwner);
  next.incarnation = Incarnation(2);
  fixture.core.OnWelcome(next);
  protocol::Fence fence;
  fence.fences.emplace(kFormerOwner, Incarnation(1));
  fixture.Receive(kNewOwner, fence);
  fixture.core.OnWelcome(Fixture::MakeWelcome(kFormerOwner));
  fixture.StartTask("s1", Milliseconds(5000));
  CHECK(fixture.started.empty());
}
