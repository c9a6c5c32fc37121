#include "LibCore/Time.h"
#include "Tests/Soak/SoakRound.h"

#include <boost/program_options.hpp>
#include <chrono>
#include <cstdlib>
#include <fmt/format.h>
#include <iostream>

namespace {
using namespace vanillaworks::system;
namespace po = boost::program_options;

constexpr int kExitUsage = 2;

/**
 * Runs one seed and returns whether every invariant held. The logs of a failed
 * seed stay on disk.
 */
bool
RunSeed(std::uint64_t aSeed, int aSeconds)
{
  fmt::print("seed {}: ", aSeed);
  std::cout.flush();
  ::unsetenv("VANILLAWORKS_KEEP_LOGS");
  SoakRound round(aSeed, aSeconds);
  auto violations = round.Run();
  for (const auto& violation : violations) {
    fmt::print("seed {} violated an invariant: {}\n", aSeed, violation);
    ::setenv("VANILLAWORKS_KEEP_LOGS", "1", 1);
  }
  return violations.empty();
}
}

int
main(int aCount, char** aArguments)
{
  po::options_description options(
    "Injects random faults into a deployment of real processes");
  options.add_options()("help", "print this help and exit")(
    "seed", po::value<std::uint64_t>()->default_value(1), "first seed")(
    "seeds", po::value<std::uint64_t>()->default_value(1), "number of seeds")(
    "minutes",
    po::value<int>()->default_value(0),
    "run for this many minutes instead of a number of seeds")(
    "seconds",
    po::value<int>()->default_value(12),
    "duration of the faults of each seed");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(aCount, aArguments, options), values);
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n";
    return kExitUsage;
  }
  if (values.count("help") != 0) {
    std::cout << options;
    return EXIT_SUCCESS;
  }
  auto first = values["seed"].as<std::uint64_t>();
  auto seeds = values["seeds"].as<std::uint64_t>();
  std::chrono::minutes minutes(values["minutes"].as<int>());
  auto startedAt = vanillaworks::MonotonicNow();
  std::size_t seedsRun = 0;
  std::size_t failed = 0;
  auto isFinished = [&] {
    return minutes.count() > 0
             ? vanillaworks::MonotonicNow() - startedAt >= minutes
             : seedsRun >= seeds;
  };
  while (!isFinished()) {
    failed += RunSeed(first + seedsRun, values["seconds"].as<int>()) ? 0 : 1;
    ++seedsRun;
  }
  fmt::print("{} passed, {} failed\n", seedsRun - failed, failed);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
