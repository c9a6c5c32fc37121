#include "Tests/System/ClientCrowd.h"
#include "Tests/System/Deployment.h"
#include "Tests/System/PlatformDeployment.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sys/resource.h>

using namespace vanillaworks::system;

namespace {
/** The memory of the smallest host that runs a process of the system. */
constexpr std::size_t kMaxMemoryKb = std::size_t{ 120 } * 1024;
/** Descriptors that the tests leave to a process; see LimitDescriptors(). */
constexpr std::size_t kMaxDescriptors = 1024;

/** Many more bytes than a process may hold. */
constexpr std::size_t kPipeliningClients = 20;
constexpr std::size_t kBytesPerPipeliningClient = std::size_t{ 16 } << 20U;
constexpr std::size_t kIncompleteRequests = 700;
constexpr std::size_t kBytesPerIncompleteRequest = 250'000;
constexpr std::size_t kIdleConnections = 1200;

/** The most memory that the process ever had, in KB; 0 if it has ended. */
std::size_t
PeakMemoryKb(pid_t aProcess)
{
  std::ifstream status("/proc/" + std::to_string(aProcess) + "/status");
  const std::string name = "VmHWM:";
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(name)) {
      return std::stoul(line.substr(name.size()));
    }
  }
  return 0;
}

std::size_t
CountDescriptors(pid_t aProcess)
{
  std::filesystem::directory_iterator entries("/proc/" +
                                              std::to_string(aProcess) + "/fd");
  return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

void
LimitDescriptors(pid_t aProcess)
{
  rlimit limit{ kMaxDescriptors, kMaxDescriptors };
  REQUIRE(prlimit(aProcess, RLIMIT_NOFILE, &limit, nullptr) == 0);
}

/** Pipelines requests to a path that no route has, and reads no response. */
ClientCrowdOptions
Pipelining(const std::string& aAddress)
{
  return { aAddress,
           kPipeliningClients,
           "GET /no/such/route HTTP/1.1\r\nHost: nobody\r\n\r\n",
           kBytesPerPipeliningClient };
}

/** Sends large bodies and leaves out their ends. */
ClientCrowdOptions
IncompleteRequests(const std::string& aAddress)
{
  std::string text = "POST /no/such/route HTTP/1.1\r\nHost: nobody\r\n"
                     "Content-Length: 262144\r\n\r\n";
  text.append(kBytesPerIncompleteRequest - text.size(), ' ');
  return { aAddress, kIncompleteRequests, text, text.size() };
}

ClientCrowdOptions
IdleConnections(const std::string& aAddress)
{
  return { aAddress, kIdleConnections, "", 0 };
}

void
CheckBounds(pid_t aProcess)
{
  INFO("peak memory " << PeakMemoryKb(aProcess) << " KB");
  REQUIRE(kill(aProcess, 0) == 0);
  CHECK(PeakMemoryKb(aProcess) > 0);
  CHECK(PeakMemoryKb(aProcess) < kMaxMemoryKb);
  CHECK(CountDescriptors(aProcess) < kMaxDescriptors);
}

/** Entry and agent of the users' platform. */
struct PlatformFixture
{
  PlatformFixture() { REQUIRE(deployment.WaitUntilReady()); }

  static PlatformOptions Options()
  {
    PlatformOptions options;
    options.entries = 1;
    options.workers = 1;
    return options;
  }
  pid_t Entry() { return deployment.Entry(0).Id(); }
  pid_t Agent() { return deployment.Agent(0).Id(); }
  void CheckOrdinaryCallers()
  {
    auto job = PlatformDeployment::JobId(++jobs);
    CHECK(deployment.Submit(0, job, 2, 20).status == 200);
    CHECK(deployment.IsReady(0));
    CHECK_FALSE(deployment.EntryMetrics(0).empty());
    CHECK_FALSE(deployment.AgentMetrics(0).empty());
  }
  /** Every listening address of one process. */
  std::vector<std::string> EntryAddresses() const
  {
    return { deployment.FrontAddress(0),
             deployment.ReadinessAddress(0),
             deployment.EntryMetricsAddress(0),
             deployment.LinkAddress(0) };
  }
  std::vector<std::string> AgentAddresses() const
  {
    return { deployment.ControlAddress(0), deployment.AgentMetricsAddress(0) };
  }

  PlatformDeployment deployment{ Options() };
  std::uint64_t jobs = 0;
};

/** Entry and agent of the programs' own interface. */
struct OwnFixture
{
  OwnFixture() { REQUIRE(deployment.WaitUntilReady()); }

  static DeploymentOptions Options()
  {
    DeploymentOptions options;
    options.entries = 1;
    options.upstreams = 1;
    options.hasAgentStatusEndpoints = true;
    return options;
  }
  pid_t Entry() { return deployment.Entry(0).Id(); }
  pid_t Agent() { return deployment.Agent(0).Id(); }
  void CheckOrdinaryCallers()
  {
    long status = 0;
    auto job = "after-crowd-" + std::to_string(++jobs);
    (void)deployment.Submit(0, Deployment::MakeJob(job, 2, 20), &status);
    CHECK(status == 200);
    CHECK(deployment.AgentMetric(0, "vanillaworks_starts_total") > 0);
  }
  std::vector<std::string> EntryAddresses() const
  {
    return { deployment.HttpAddress(0), deployment.LinkAddress(0) };
  }
  std::vector<std::string> AgentAddresses() const
  {
    return { deployment.AgentStatusAddress(0) };
  }

  Deployment deployment{ Options() };
  std::uint64_t jobs = 0;
};

using MakeCrowd = ClientCrowdOptions (*)(const std::string& aAddress);

/** Connects a crowd to one address of the process after the other. */
template<typename Fixture>
void
CheckAddresses(Fixture& aFixture,
               pid_t aProcess,
               const std::vector<std::string>& aAddresses,
               MakeCrowd aMakeCrowd)
{
  for (const auto& address : aAddresses) {
    INFO("process " << aProcess << " at " << address);
    ClientCrowd crowd(aMakeCrowd(address));
    REQUIRE(crowd.CountConnected() > 0);
    CheckBounds(aProcess);
    aFixture.CheckOrdinaryCallers();
  }
}

template<typename Fixture>
void
CheckEveryAddress(MakeCrowd aMakeCrowd)
{
  Fixture fixture;
  LimitDescriptors(fixture.Entry());
  LimitDescriptors(fixture.Agent());
  CheckAddresses(
    fixture, fixture.Entry(), fixture.EntryAddresses(), aMakeCrowd);
  CheckAddresses(
    fixture, fixture.Agent(), fixture.AgentAddresses(), aMakeCrowd);
}
}

// Clients that pipelined requests to a path without a route, and left the
// responses unread, made a process run out of memory.
TEST_CASE("pipelining clients that don't read cost bounded memory",
          "[flood-platform]")
{
  CheckEveryAddress<PlatformFixture>(&Pipelining);
}

// Each request may be 256 KB, so that a few hundred incomplete ones exceeded
// the memory of a host.
TEST_CASE("incomplete requests cost bounded memory", "[flood-platform]")
{
  CheckEveryAddress<PlatformFixture>(&IncompleteRequests);
}

// Idle connections took all descriptors, so that neither callers nor agents
// could connect.
TEST_CASE("idle connections leave descriptors to others", "[flood-platform]")
{
  CheckEveryAddress<PlatformFixture>(&IdleConnections);
}

TEST_CASE("pipelining clients that don't read cost bounded memory, own "
          "interface",
          "[flood-own]")
{
  CheckEveryAddress<OwnFixture>(&Pipelining);
}

TEST_CASE("incomplete requests cost bounded memory, own interface",
          "[flood-own]")
{
  CheckEveryAddress<OwnFixture>(&IncompleteRequests);
}

TEST_CASE("idle connections leave descriptors to others, own interface",
          "[flood-own]")
{
  CheckEveryAddress<OwnFixture>(&IdleConnections);
}
