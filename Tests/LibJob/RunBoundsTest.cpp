#include "LibJob/RunBounds.h"

#include <catch2/catch.hpp>

using namespace vanillaworks;
using namespace vanillaworks::job;

TEST_CASE("a run has ended before its task may start elsewhere")
{
  for (int retryMs : { 500, 800, 1300, 2500, 5000, 60'000 }) {
    for (int leaseMs : { 200, 1000, 3000, 10'000 }) {
      INFO("retry " << retryMs << ", lease " << leaseMs);
      auto bounds =
        RunBounds::Derive(Milliseconds(retryMs), Milliseconds(leaseMs));
      auto leaseExpiry = bounds.lease.count() * 1.02;
      CHECK(bounds.lease.count() <= leaseMs);
      // The entry is lost, and the caller tries another one.
      CHECK(bounds.entryTimeout.count() + 250 <= retryMs);
      // The agent is lost as well.
      CHECK(leaseExpiry + 250 <= retryMs);
      // The entry places the task again without that agent, which may only be
      // disconnected.
      CHECK(bounds.entryTimeout.count() + 250 <=
            bounds.lostAgentTimeout.count());
      CHECK(leaseExpiry + 250 <=
            static_cast<double>(bounds.lostAgentTimeout.count()));
      // The entry is lost, and the agent fails before it has stopped the run,
      // just after it has renewed the lease on a slow clock.
      auto lastEnd = static_cast<double>(bounds.contactLease.count()) +
                     static_cast<double>(bounds.lease.count()) * 0.02;
      CHECK(lastEnd + 50 <= retryMs);
      CHECK(lastEnd + 50 <=
            static_cast<double>(bounds.lostAgentTimeout.count()));
      // The caller has gone, and the stop of its run gets no answer.
      auto cancelledEnd = static_cast<double>(bounds.cancelLease.count()) +
                          static_cast<double>(bounds.lease.count()) * 0.02;
      CHECK(cancelledEnd + 200 <= retryMs);
      // A stop is confirmed before the lease ends the runs of other entries.
      CHECK(bounds.contactLease - bounds.entryTimeout >= Milliseconds(200));
    }
  }
}

TEST_CASE("bounds for the default settings of the users' deployments")
{
  auto bounds = RunBounds::Derive(Milliseconds(1300), Milliseconds(1000));
  CHECK(bounds.entryTimeout == Milliseconds(1000));
  CHECK(bounds.lease == Milliseconds(800));
  CHECK(bounds.grantedLease == Milliseconds(1000));
  // A run whose entry is well never waits for the leases of others to end.
  CHECK(bounds.lease + Milliseconds(430) <= bounds.contactLease);
  CHECK(bounds.lostAgentTimeout <= Milliseconds(1330));
}
