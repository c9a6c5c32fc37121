#include "LibDispatch/StartGate.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <set>

using namespace vanillaworks;
using namespace vanillaworks::dispatch;
using namespace std::chrono_literals;
using protocol::RefusalReason;

namespace {
/**
 * A reference model of the start gate: it keeps all starts for ever and
 * evaluates all conditions on each request.
 */
struct ReferenceGate
{
  std::set<protocol::TaskKey> everStarted;
  std::set<protocol::TaskKey> running;
  std::map<EntryId, std::uint64_t> fences;
  bool closed = false;
  bool leaving = false;
  bool registered = false;
  bool stopping = false;
  MonotonicTime revalidatedAt;

  bool Permits(const GateRequest& aRequest, MonotonicTime aNow) const
  {
    auto fence = fences.find(aRequest.sender.entry);
    bool isFenced = fence != fences.end() &&
                    aRequest.sender.incarnation.Value() <= fence->second;
    // A repeatable request may start again once it has ended; a claimed task
    // may not.
    bool isRepeatedStart = aRequest.claimed ? everStarted.contains(aRequest.key)
                                            : running.contains(aRequest.key);
    return !isRepeatedStart && !isFenced && !closed && !leaving && !stopping &&
           (registered || !aRequest.claimed) && aRequest.deadline > aNow &&
           aNow - revalidatedAt <= 3s;
  }
};
}

TEST_CASE("a gate starts exactly what the reference gate permits",
          "[differential][invariant-1][invariant-3][invariant-7]")
{
  CHECK(rc::check([] {
    constexpr std::uint32_t kSlots = 3;
    ConfigurationHolder holder;
    GateLimits limits;
    limits.slots = kSlots;
    limits.retention = 2s;
    StartGate gate(UpstreamId("u"), FailureDomainId("d"), limits, holder);
    ReferenceGate reference;
    MonotonicTime now{ 1000s };
    reference.revalidatedAt = now - 1h;
    std::uint64_t version = 0;
    auto steps = *rc::gen::inRange(1, 120);
    for (int step = 0; step < steps; ++step) {
      switch (*rc::gen::inRange(0, 10)) {
        case 0:
          now += Milliseconds(*rc::gen::inRange(0, 4000));
          gate.Expire(now);
          break;
        case 1: {
          auto age = Milliseconds(*rc::gen::inRange(0, 3000));
          gate.OnRevalidated(ConfigurationVersion(version), now - age);
          reference.revalidatedAt =
            std::max(reference.revalidatedAt, now - age);
          break;
        }
        case 2: {
          reference.closed = *rc::gen::arbitrary<bool>();
          reference.leaving = *rc::gen::arbitrary<bool>();
          std::string text =
            std::string(R"({"failure_domains":{"d":{"state":")") +
            (reference.closed ? "closed" : "open") +
            R"("}},"upstreams":{"u":{"state":")" +
            (reference.leaving ? "leaving" : "in_service") + R"("}}})";
          holder.Adopt(
            ConfigurationDocument::Parse(ConfigurationVersion(++version), text)
              .ReleaseValue());
          break;
        }
        case 3: {
          std::uint64_t incarnation = *rc::gen::inRange(0, 4);
          gate.FenceIncarnation({ EntryId("e"), Incarnation(incarnation) });
          auto& fence = reference.fences[EntryId("e")];
          fence = std::max(fence, incarnation);
          break;
        }
        case 4:
          gate.SetRegistered();
          reference.registered = true;
          break;
        case 5:
          if (!reference.running.empty()) {
            auto key = *reference.running.begin();
            gate.End(key);
            reference.running.erase(key);
          }
          break;
        default: {
          GateRequest request;
          request.key = { SubmissionId("s"),
                          static_cast<std::uint32_t>(
                            *rc::gen::inRange(0, 12)) };
          request.sender = { EntryId("e"),
                             Incarnation(*rc::gen::inRange(0, 6)) };
          request.deadline = now + Milliseconds(*rc::gen::inRange(-50, 5000));
          request.claimed = *rc::gen::arbitrary<bool>();
          bool permitted = reference.Permits(request, now) &&
                           reference.running.size() < kSlots;
          // After the retention the gate relies on the deadline, which a
          // sender never extends for the same task.
          bool isForgotten = reference.everStarted.contains(request.key) &&
                             !gate.HasStarted(request.key);
          if (isForgotten) {
            break;
          }
          bool started = gate.Start(request, now) == RefusalReason::None;
          RC_ASSERT(started == permitted);
          if (started) {
            reference.everStarted.insert(request.key);
            reference.running.insert(request.key);
          }
        }
      }
    }
  }));
}

TEST_CASE("a repeatable request that failed may be retried on the same "
          "upstream and a claimed task may not")
{
  ConfigurationHolder holder;
  StartGate gate(UpstreamId("u"), FailureDomainId("d"), GateLimits{}, holder);
  MonotonicTime now{ 1000s };
  gate.OnRevalidated(ConfigurationVersion(0), now);
  gate.SetRegistered();
  GateRequest request;
  request.deadline = now + 10s;
  for (bool claimed : { false, true }) {
    request.claimed = claimed;
    request.key = { SubmissionId(claimed ? "job" : "lookup"), 0 };
    REQUIRE(gate.Start(request, now) == RefusalReason::None);
    CHECK(gate.Check(request, now) == RefusalReason::Duplicate);
    gate.End(request.key);
    auto again = gate.Start(request, now);
    CHECK(again == (claimed ? RefusalReason::Duplicate : RefusalReason::None));
    gate.End(request.key);
  }
}

TEST_CASE("a worker that fails several submissions is set aside and returns "
          "after a successful probe")
{
  ConfigurationHolder holder;
  GateLimits limits;
  limits.slots = 8;
  StartGate gate(UpstreamId("u"), FailureDomainId("d"), limits, holder);
  MonotonicTime now{ 1000s };
  gate.OnRevalidated(ConfigurationVersion(0), now);
  auto start = [&](std::uint32_t aTask) {
    GateRequest request;
    request.key = { SubmissionId("job-" + std::to_string(aTask)), aTask };
    request.deadline = now + 10s;
    return gate.Start(request, now);
  };
  for (std::uint32_t i = 0; i < 3; ++i) {
    REQUIRE(start(i) == RefusalReason::None);
    gate.Breaker().OnFailure(SubmissionId("job-" + std::to_string(i)), now);
  }
  CHECK(start(10) == RefusalReason::SetAside);
  now += 600ms;
  CHECK(start(11) == RefusalReason::None);
  CHECK(start(12) == RefusalReason::SetAside);
  gate.Breaker().OnSuccess();
  CHECK(start(13) == RefusalReason::None);
}

TEST_CASE("a single job that fails everywhere sets no worker aside")
{
  CircuitBreaker breaker;
  for (int i = 0; i < 100; ++i) {
    breaker.OnFailure(SubmissionId("bad-job"), MonotonicTime{ 1000s });
  }
  CHECK_FALSE(breaker.IsSetAside());
}
