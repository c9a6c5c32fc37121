#include "Tests/Soak/InvariantChecks.h"

#include <catch2/catch.hpp>

using namespace vanillaworks::system;

namespace {
const std::string kJob = "00000000000000aa";
const RunRecord kEndedRun{ kJob, 0, "harbour", 100, 200 };

CallerRecord
MakeCaller(long aStatus, const std::string& aBody)
{
  return { kJob, 1, { aStatus, aBody } };
}
}

TEST_CASE("records and answers that keep the invariants give no violation")
{
  CHECK(CheckRuns({ kEndedRun, { kJob, 0, "harbour", 250, 300 } }).empty());
  CHECK(
    CheckNoStartIntervals({ kEndedRun }, { { "harbour", 150, 300 } }).empty());
  CHECK(
    CheckNoStartIntervals({ kEndedRun }, { { "pier-end", 50, 300 } }).empty());
  CHECK(
    CheckAnswers({ kEndedRun }, { MakeCaller(200, R"({"state":"completed"})") })
      .empty());
  CHECK(CheckAnswers({}, { MakeCaller(503, "") }).empty());
}

TEST_CASE("a task is started at most twice after it has crashed three runners")
{
  std::vector<RunRecord> runs;
  for (std::int64_t i = 1; i <= 5; ++i) {
    runs.push_back({ kJob, 0, "harbour", i * 100, i * 100 + 20, 0, true });
    // Other tasks and runs that end otherwise don't count.
    runs.push_back({ kJob, 1, "harbour", i * 100, i * 100 + 20 });
  }
  CHECK(CheckCrashingTasks(runs).empty());
  runs.push_back({ kJob, 1, "harbour", 600, 620 });
  CHECK(CheckCrashingTasks(runs).empty());
  runs.push_back({ kJob, 0, "harbour", 600, 620 });
  CHECK(CheckCrashingTasks(runs).size() == 1);
}

TEST_CASE("each kind of violation by a runner or an entry is reported")
{
  CHECK(CheckRuns({ kEndedRun, { kJob, 0, "pier-end", 150, 300 } }).size() ==
        1);
  CHECK(CheckRuns(
          { { kJob, 0, "harbour", 100, 0 }, { kJob, 0, "pier-end", 150, 300 } })
          .size() == 1);
  CHECK(CheckRuns({ { "over capacity", 0, "harbour", 0, 0 } }).size() == 1);
  CHECK(
    CheckNoStartIntervals({ kEndedRun }, { { "harbour", 50, 300 } }).size() ==
    1);
  CHECK(CheckNoStartIntervals({ kEndedRun }, { { "", 50, 300, 0 } }).size() ==
        1);
  CHECK(CheckAnswers({ kEndedRun }, { MakeCaller(503, "") }).size() == 1);
  CHECK(
    CheckAnswers({ kEndedRun }, { MakeCaller(200, R"({"state":)") }).size() ==
    1);
  CHECK(
    CheckAnswers({}, { MakeCaller(200, R"({"state":"completed"})") }).size() ==
    1);
  // The task still runs although the job was answered as completed.
  CHECK(CheckAnswers({ { kJob, 0, "harbour", 100, 0 } },
                     { MakeCaller(200, R"({"state":"completed"})") })
          .size() == 1);
}
