#include "platform/JobCodec.h"
#include "platform/OperatorRows.h"
#include "platform/RunnerCodec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace vanillaworks;
using namespace vanillaworks::wire;

TEST_CASE(
  "a job of one step is decoded; invalid and unsupported jobs are rejected")
{
  auto job = ParseJob(R"({"spec":"s","bestEffort":true,"steps":[{"count":4,
    "cpu":500,"memMb":256,"estimateMs":900,"requires":"b","unknown":1}]})");
  REQUIRE_FALSE(job.IsError());
  CHECK(job.Value().tasks == 4);
  CHECK(job.Value().demand == job::Resources{ 500, 256, 0 });
  CHECK(job.Value().estimate == Milliseconds(900));
  CHECK(job.Value().requiredLabel == "b");
  auto problem = [](const char* aBody) { return ParseJob(aBody).Error(); };
  CHECK(problem("{") == JobProblem::Unreadable);
  CHECK(problem("[]") == JobProblem::Unreadable);
  CHECK(problem(R"({"bestEffort":true,"steps":[7]})") ==
        JobProblem::Unreadable);
  CHECK(problem(R"({"bestEffort":true,"steps":[{"count":"x"}]})") ==
        JobProblem::Unreadable);
  CHECK(problem(R"({"bestEffort":true,"steps":[{"count":0}]})") ==
        JobProblem::InvalidNumbers);
  CHECK(problem(R"({"bestEffort":true,"steps":[{"count":1,"cpu":-1}]})") ==
        JobProblem::InvalidNumbers);
  CHECK(problem(R"({"steps":[{"count":1}]})") == JobProblem::NotSupported);
  CHECK(problem(R"({"bestEffort":true,"steps":[{"count":1,"gang":true}]})") ==
        JobProblem::NotSupported);
  CHECK(problem(R"({"bestEffort":true,"steps":[{"count":1},{"count":1}]})") ==
        JobProblem::NotSupported);
}

TEST_CASE("numbers that no field can hold are rejected, not converted")
{
  auto problem = [](const std::string& aNumber) {
    auto job = ParseJob(R"({"bestEffort":true,"steps":[{"count":1,"cpu":)" +
                        aNumber + "}]}");
    return job.IsError() ? std::optional(job.Error()) : std::nullopt;
  };
  CHECK(problem("1e300") == JobProblem::Unreadable);
  CHECK(problem("-1e300") == JobProblem::Unreadable);
  // One more than the largest signed number, and the largest unsigned one.
  CHECK(problem("9223372036854775808") == JobProblem::Unreadable);
  CHECK(problem("18446744073709551615") == JobProblem::Unreadable);
  CHECK(problem("1500.0") == std::nullopt);
  auto step = [](const char* aFields) {
    return ParseJob(std::string(R"({"bestEffort":true,"steps":[{"count":1,)") +
                    aFields + "}]}");
  };
  // A limit that 32 bits can't hold is still a limit.
  CHECK(step(R"("antiAffinity":4294967296)").Value().maxPerWorker > 0);
  CHECK(step(R"("estimateMs":9000000000000000000)").Error() ==
        JobProblem::InvalidNumbers);
  CHECK_FALSE(ParseRunnerReport("r1", R"({"service":"s","address":"a:1",
    "zone":"z","state":"ready","capacity":{"cpu":16000,"memMb":1,"gpus":0},
    "clockMs":1e19,"born":1,"seq":4})"));
}

TEST_CASE("an id is sixteen hexadecimal digits below the prefix")
{
  CHECK(ParseJobId("/a/5c0e7a21d94b36f8", "/a/")->Value() ==
        "5c0e7a21d94b36f8");
  CHECK_FALSE(ParseJobId("/a/5c0e7a21d94b36f", "/a/"));
  CHECK_FALSE(ParseJobId("/a/5c0e7a21d94b36fg", "/a/"));
  CHECK_FALSE(ParseJobId("/a/", "/a/"));
}

TEST_CASE("responses say whether a job may have run and when to retry")
{
  auto rejected = ReplyFor(
    { job::JobState::Rejected, job::JobReason::TooLate, Milliseconds(1200) });
  CHECK(rejected.status == 503);
  CHECK(rejected.retryAfterSeconds == 2);
  CHECK(rejected.body == R"({"reason":"too_late","mayHaveRun":false})");
  auto givenUp =
    ReplyFor({ job::JobState::GivenUp, job::JobReason::Deadline, {} });
  CHECK(givenUp.status == 504);
  CHECK(givenUp.body == R"({"reason":"deadline","mayHaveRun":true})");
}

TEST_CASE("an invalid or incomplete runner report is rejected")
{
  const std::string validReport =
    R"({"service":"s","address":"10.0.0.1:1","zone":"z","state":"ready",
    "capacity":{"cpu":16000,"memMb":10,"gpus":0},"labels":["a"],
    "clockMs":5,"born":7,"seq":3})";
  auto report = ParseRunnerReport("r1", validReport);
  REQUIRE(report);
  CHECK(report->capacity.cpu == 16000);
  CHECK(report->sequence == 3);
  CHECK_FALSE(ParseRunnerReport("r1", "{}"));
  CHECK_FALSE(ParseRunnerReport("r1", "\xff\xfe"));
  auto isAccepted = [&validReport](const char* aFrom, const char* aTo) {
    auto text = validReport;
    text.replace(text.find(aFrom), std::string(aFrom).size(), aTo);
    return ParseRunnerReport("r1", text).has_value();
  };
  CHECK_FALSE(isAccepted(R"("ready")", R"("dancing")"));
  CHECK_FALSE(isAccepted("16000", R"("many")"));
  CHECK_FALSE(isAccepted(R"("s")", "null"));
}

// A report without a zone, from another writer, replaced the runner's own, and
// tasks started in a zone that operators had closed.
TEST_CASE("a runner report that lacks any of its fields is rejected")
{
  auto complete =
    nlohmann::json::parse(R"({"service":"s","address":"a:1","zone":"z",
    "state":"ready","capacity":{"cpu":16000,"memMb":1,"gpus":0},"labels":[],
    "clockMs":1,"born":2,"seq":3})");
  REQUIRE(ParseRunnerReport("r1", complete.dump()));
  for (const auto* field : { "service",
                             "address",
                             "zone",
                             "state",
                             "capacity",
                             "labels",
                             "clockMs",
                             "born",
                             "seq" }) {
    INFO(field);
    auto report = complete;
    report.erase(field);
    CHECK_FALSE(ParseRunnerReport("r1", report.dump()));
  }
  for (const auto* field : { "cpu", "memMb" }) {
    INFO(field);
    auto report = complete;
    report["capacity"].erase(field);
    CHECK_FALSE(ParseRunnerReport("r1", report.dump()));
  }
}

TEST_CASE("a runner report with times that sums can't hold is rejected")
{
  auto report =
    nlohmann::json::parse(R"({"service":"s","address":"a:1","zone":"z",
    "state":"ready","capacity":{"cpu":16000,"memMb":1},"labels":[],
    "clockMs":1,"born":2,"seq":3})");
  for (const auto* field : { "clockMs", "born" }) {
    INFO(field);
    for (std::int64_t time :
         { std::int64_t{ -1 }, std::numeric_limits<std::int64_t>::max() }) {
      INFO(time);
      auto changed = report;
      changed[field] = time;
      CHECK_FALSE(ParseRunnerReport("r1", changed.dump()));
    }
  }
}

TEST_CASE("a stored report is read back without sequence and clock")
{
  job::RunnerReport report;
  report.id = "r1";
  report.startedMs = 42;
  report.sequence = 9;
  report.service = "s";
  report.address = "a:1";
  report.domain = FailureDomainId("z");
  report.labels = { "a", "r1-3" };
  report.capacity = { 1, 2, 3 };
  report.learnedSlowness = 1430;
  auto stored = ParseStoredReport(EncodeStoredReport(report));
  REQUIRE(stored);
  CHECK(stored->id == "r1");
  CHECK(stored->startedMs == 42);
  CHECK(stored->sequence == 0);
  CHECK(stored->labels == report.labels);
  CHECK(stored->capacity == report.capacity);
  CHECK(stored->learnedSlowness == 1430);
  CHECK_FALSE(ParseStoredReport("nonsense"));
}

TEST_CASE(
  "hold responses are decoded; rows of other programs keep their number")
{
  auto answer = ParseHoldResponse(200,
                                  R"({"clockMs":10,"born":7,"running":[
    ["5c0e7a21d94b36f8.0.0.17",2,"",41],["other",1,"",0],7],
    "finished":[[58,"5c0e7a21d94b36f8.0.0.9",1,"done",""],
    [59,"x.1.2.3",1,"lapsed",""]]})");
  REQUIRE(answer.result == job::HoldResult::Answered);
  REQUIRE(answer.running.size() == 1);
  CHECK(answer.running[0].key.task.index == 17);
  CHECK(answer.running[0].percent == 41);
  REQUIRE(answer.finished.size() == 2);
  CHECK(answer.finished[0].kind == job::EndKind::Done);
  CHECK(answer.finished[1].number == 59);
  CHECK(ParseHoldResponse(421, "").result == job::HoldResult::OtherIncarnation);
  CHECK(ParseHoldResponse(409, R"({"clockMs":33})").clockMs == 33);
  CHECK(ParseHoldResponse(200, "garbage").result == job::HoldResult::Unknown);
  CHECK(ParseStartResponse(409, R"({"reason":"old"})") ==
        job::StartResult::OldRun);
  CHECK(ParseStartResponse(0, "") == job::StartResult::Unknown);
}

// A run that couldn't be read from the runner's list counted as ended.
TEST_CASE("a list that can't be read wholly doesn't prove that a run has ended")
{
  auto isComplete = [](const std::string& aLists) {
    auto answer = ParseHoldResponse(200, R"({"clockMs":10,"born":7)" + aLists);
    CHECK(answer.result == job::HoldResult::Answered);
    return answer.isComplete;
  };
  CHECK(isComplete(R"(,"running":[],"finished":[]})"));
  CHECK(isComplete(R"(,"running":[["other",1,"",0]],"finished":[]})"));
  CHECK_FALSE(isComplete("}"));
  CHECK_FALSE(isComplete(R"(,"finished":[]})"));
  CHECK_FALSE(isComplete(R"(,"running":[]})"));
  CHECK_FALSE(isComplete(R"(,"running":[7],"finished":[]})"));
  CHECK_FALSE(isComplete(R"(,"running":[["a.0.0.1",-1,"",0]],"finished":[]})"));
  CHECK_FALSE(isComplete(R"(,"running":[],"finished":[["x"]]})"));
}

TEST_CASE("the start time in an announcement to leave is optional")
{
  CHECK(ParseAnnouncedStart(R"({"born":1700000000000})") == 1'700'000'000'000);
  CHECK_FALSE(ParseAnnouncedStart(""));
  CHECK_FALSE(ParseAnnouncedStart("{}"));
  CHECK_FALSE(ParseAnnouncedStart(R"({"born":"x"})"));
}

TEST_CASE("a refused stop whose reason can't be read is not accepted")
{
  CHECK(ParseStopResponse(409, R"({"reason":"fence"})") ==
        job::StopResult::Fenced);
  CHECK(ParseStopResponse(409, R"({"reason":"old"})") ==
        job::StopResult::Accepted);
  CHECK(ParseStopResponse(409, "garbage") == job::StopResult::Unknown);
}

// Any status that the runner's protocol doesn't name counted as a refusal, so
// that a job whose task may have started could be rejected as not run.
TEST_CASE("only the refusals of the protocol prove that a start did nothing")
{
  CHECK(ParseStartResponse(400, "") == job::StartResult::Rejected);
  CHECK(ParseStartResponse(421, "") == job::StartResult::Rejected);
  CHECK(ParseStartResponse(409, R"({"reason":"room"})") ==
        job::StartResult::NoRoom);
  CHECK(ParseStartResponse(503, "") == job::StartResult::Unhealthy);
  for (long status : { 100, 202, 302, 404, 500, 502, 504 }) {
    INFO(status);
    CHECK(ParseStartResponse(status, "") == job::StartResult::Unknown);
  }
}

TEST_CASE(
  "operators' rows that can't be read are skipped; the others are decoded")
{
  auto update = DecodeOperatorRows(
    { { "config",
        R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/p/",
        "service":"s","priority":2,"maxAttempts":4,"stretch":1.6},
        {"pathPrefix":9},"x"]})" },
      { "evacuate/pier-end", "{}" },
      { "wave/1", "{}" } },
    12);
  CHECK(update.revision == 12);
  CHECK(update.version == ConfigurationVersion(7));
  REQUIRE(update.routes.size() == 1);
  CHECK(update.routes[0].maxAttempts == 4);
  REQUIRE(update.closedDomains.size() == 1);
  CHECK(update.closedDomains[0] == FailureDomainId("pier-end"));
  CHECK(DecodeOperatorRows({ { "config", "{" } }, 3).version ==
        ConfigurationVersion());
}
