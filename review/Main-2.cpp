#include "review/Cases-2.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

/** Plays one case: CASE FOLDER. The environment's TROUBLE=0 calms it. */
int
main(int aCount, char** aArguments)
{
  using namespace vanillaworks::review;
  std::signal(SIGPIPE, SIG_IGN);
  if (aCount != 3) {
    std::cerr << "usage: vanillaworks-review-2 CASE FOLDER\n";
    return kCouldNotRun;
  }
  const auto* trouble = std::getenv("TROUBLE");
  bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
  return PlayCase(aArguments[1], aArguments[2], hasTrouble);
}
