#include "Tests/Soak/RecordJudge.h"

#include <catch2/catch.hpp>

using namespace vanillaworks::system;

namespace {
const std::string kJob = "00000000000000aa";
const RunRecord kRun{ kJob, 0, "harbour", 100, 200 };

CallerRecord
Caller(long aStatus, const std::string& aBody)
{
  return { kJob, 1, { aStatus, aBody } };
}
}

TEST_CASE("a sound record is no finding")
{
  CHECK(JudgeRuns({ kRun, { kJob, 0, "harbour", 250, 300 } }).empty());
  CHECK(JudgeQuiet({ kRun }, { { "harbour", 150, 300 } }).empty());
  CHECK(JudgeQuiet({ kRun }, { { "pier-end", 50, 300 } }).empty());
  CHECK(JudgeAnswers({ kRun }, { Caller(200, R"({"state":"completed"})") })
          .empty());
  CHECK(JudgeAnswers({}, { Caller(503, "") }).empty());
}

TEST_CASE("each lie of a runner or an entry is found")
{
  CHECK(JudgeRuns({ kRun, { kJob, 0, "pier-end", 150, 300 } }).size() == 1);
  CHECK(JudgeRuns(
          { { kJob, 0, "harbour", 100, 0 }, { kJob, 0, "pier-end", 150, 300 } })
          .size() == 1);
  CHECK(JudgeRuns({ { "over its room", 0, "harbour", 0, 0 } }).size() == 1);
  CHECK(JudgeQuiet({ kRun }, { { "harbour", 50, 300 } }).size() == 1);
  CHECK(JudgeQuiet({ kRun }, { { "", 50, 300, 0 } }).size() == 1);
  CHECK(JudgeAnswers({ kRun }, { Caller(503, "") }).size() == 1);
  CHECK(JudgeAnswers({ kRun }, { Caller(200, R"({"state":)") }).size() == 1);
  CHECK(JudgeAnswers({}, { Caller(200, R"({"state":"completed"})") }).size() ==
        1);
  // Still running when it was told of as completed.
  CHECK(JudgeAnswers({ { kJob, 0, "harbour", 100, 0 } },
                     { Caller(200, R"({"state":"completed"})") })
          .size() == 1);
}
