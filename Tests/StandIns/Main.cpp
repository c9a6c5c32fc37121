#include "LibService/EventLoop.h"
#include "Tests/StandIns/Relay.h"
#include "Tests/StandIns/RunnerStandIn.h"
#include "Tests/StandIns/StoreStandIn.h"
#include "Tests/StandIns/TableStandIn.h"
#include "Tests/StandIns/UpstreamStandIn.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>
#include <optional>

namespace {
namespace po = boost::program_options;
using namespace vanillaworks;

constexpr int kExitUsage = 2;
}

int
main(int aCount, char** aArguments)
{
  std::signal(SIGPIPE, SIG_IGN);
  po::options_description options(
    "Servers that replace other services in tests; a process plays one role");
  options.add_options()("help", "print this help and exit")(
    "role",
    po::value<std::string>(),
    "table, upstream, relay, store or runner")(
    "listen", po::value<std::string>(), "host:port to listen on")(
    "target",
    po::value<std::string>()->default_value(""),
    "relay: host:port to forward connections to")(
    "control",
    po::value<std::string>()->default_value(""),
    "relay, runner: host:port of its control server")(
    "agent",
    po::value<std::string>()->default_value(""),
    "runner: host:port of its agent")(
    "delay-us",
    po::value<std::int64_t>()->default_value(0),
    "relay: delay in each direction, in microseconds")(
    "speed",
    po::value<double>()->default_value(1),
    "upstream: speed factor; 2 halves the run times")(
    "id", po::value<std::string>()->default_value("r"), "runner: its id")(
    "domain",
    po::value<std::string>()->default_value(""),
    "runner: its failure domain");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(aCount, aArguments, options), values);
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n";
    return kExitUsage;
  }
  if (values.count("help") != 0) {
    std::cout << options;
    return 0;
  }
  if (values.count("role") == 0 || values.count("listen") == 0) {
    std::cerr << options;
    return kExitUsage;
  }
  auto role = values["role"].as<std::string>();
  auto listen = values["listen"].as<std::string>();
  service::EventLoop loop;
  auto* base = loop.Base();
  std::optional<standins::TableStandIn> table;
  std::optional<standins::UpstreamStandIn> upstream;
  std::optional<standins::Relay> relay;
  std::optional<standins::StoreStandIn> store;
  std::optional<standins::RunnerStandIn> runner;
  bool isListening = false;
  if (role == "store") {
    isListening = store.emplace(base, listen).IsListening();
  } else if (role == "runner") {
    standins::RunnerStandInOptions runnerOptions;
    runnerOptions.listenAddress = listen;
    runnerOptions.controlAddress = values["control"].as<std::string>();
    runnerOptions.agentAddress = values["agent"].as<std::string>();
    runnerOptions.id = values["id"].as<std::string>();
    runnerOptions.domain = values["domain"].as<std::string>();
    isListening = runner.emplace(loop, runnerOptions).IsListening();
  } else if (role == "table") {
    isListening = table.emplace(base, listen).IsListening();
  } else if (role == "upstream") {
    isListening = upstream.emplace(base, listen, values["speed"].as<double>())
                    .IsListening();
  } else if (role == "relay") {
    isListening =
      relay
        .emplace(base,
                 listen,
                 values["target"].as<std::string>(),
                 values["control"].as<std::string>(),
                 Microseconds(values["delay-us"].as<std::int64_t>()))
        .IsListening();
  }
  if (!isListening) {
    std::cerr << "unknown role, or cannot listen on " << listen << "\n";
    return EXIT_FAILURE;
  }
  loop.Run();
  return EXIT_SUCCESS;
}
