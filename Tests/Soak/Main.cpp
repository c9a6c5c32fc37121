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

/** Plays one seed; true if nothing was broken. A failed one keeps its logs. */
bool
PlaySeed(std::uint64_t aSeed, int aSeconds)
{
  fmt::print("seed {}: ", aSeed);
  std::cout.flush();
  ::unsetenv("VANILLAWORKS_KEEP_LOGS");
  SoakRound round(aSeed, aSeconds);
  auto broken = round.Play();
  for (const auto& what : broken) {
    fmt::print("seed {} broke: {}\n", aSeed, what);
    ::setenv("VANILLAWORKS_KEEP_LOGS", "1", 1);
  }
  return broken.empty();
}
}

int
main(int aCount, char** aArguments)
{
  po::options_description options("Random faults on real processes");
  options.add_options()("help", "print this text and end")(
    "seed", po::value<std::uint64_t>()->default_value(1), "the first seed")(
    "seeds", po::value<std::uint64_t>()->default_value(1), "how many")(
    "minutes",
    po::value<int>()->default_value(0),
    "in place of seeds: how long")(
    "seconds", po::value<int>()->default_value(12), "of each seed");
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
  auto began = vanillaworks::MonotonicNow();
  std::size_t played = 0;
  std::size_t failed = 0;
  auto isOver = [&] {
    return minutes.count() > 0 ? vanillaworks::MonotonicNow() - began >= minutes
                               : played >= seeds;
  };
  while (!isOver()) {
    failed += PlaySeed(first + played, values["seconds"].as<int>()) ? 0 : 1;
    ++played;
  }
  fmt::print("{} passed, {} failed\n", played - failed, failed);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
