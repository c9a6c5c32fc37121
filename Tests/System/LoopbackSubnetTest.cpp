#include "Tests/System/LoopbackSubnet.h"

#include <catch2/catch.hpp>
#include <set>
#include <vector>

using namespace vanillaworks::system;

// Two test programs whose process ids were alike used the same addresses, and
// one changed the configuration of the other.
TEST_CASE("deployments that exist at the same time use different subnets")
{
  constexpr std::size_t kDeployments = 20;
  std::vector<LoopbackSubnet> subnets(kDeployments);
  std::set<std::string> hosts;
  for (const auto& subnet : subnets) {
    hosts.insert(subnet.Host(1));
  }
  CHECK(hosts.size() == kDeployments);
}

TEST_CASE("a subnet is free again when its deployment has ended")
{
  std::string first = LoopbackSubnet().Host(1);
  CHECK(LoopbackSubnet().Host(1) == first);
}
