#include "LibCore/Time.h"
#include "Tests/System/Deployment.h"
#include "Utilities/IdealScheduler.h"
#include "Utilities/LoadClient.h"
#include "Utilities/Scenario.h"
#include "Utilities/Trace.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <fmt/format.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <numeric>
#include <set>

namespace {
using namespace vanillaworks;
using namespace vanillaworks::measure;
using system::Deployment;
namespace po = boost::program_options;
using Json = nlohmann::json;

constexpr std::size_t kUpstreamCount = 11;
constexpr std::size_t kSlotsPerUpstream = 8;
constexpr std::size_t kEntryCount = 3;
constexpr double kTableDelayMs = 3;
constexpr double kFaultStartMs = 8'000;
constexpr double kDeadlineMs = 30'000;
// A start within this time of the closing of a domain is no violation.
constexpr double kClosingGraceMs = 3'000;
// Slowdowns of earlier arrivals are not counted: the entries still learn the
// speeds of the upstreams.
constexpr double kWarmUpMs = 4'000;

struct Options
{
  std::uint64_t seed = 1;
  double lengthMs = 30'000;
};

/**
 * Speeds of the upstreams, which differ by up to a factor of four. Their order
 * is independent of the assignment to failure domains.
 */
std::vector<double>
Speeds()
{
  return { 1.0, 0.5, 2.0, 0.7, 1.4, 1.0, 0.6, 1.7, 0.8, 1.2, 0.5 };
}

struct Measurement
{
  const Site& site;
  const Scenario& scenario;
  std::string policy;
  Options options;
  std::vector<Arrival> trace;
  std::vector<IdealUpstream> upstreams;
  std::vector<RequestOutcome> outcomes;
  /** Clock of Deployment::NowMicroseconds(), as in the start records. */
  std::int64_t startedAtUs = 0;
  /** When the operator closed and reopened the domain; 0 if it never did. */
  std::int64_t closedAtUs = 0;
  std::int64_t reopenedAtUs = 0;
  /** Frames without a task or an answer, by sender and type. */
  std::map<std::string, double> controlFrames;
};

double
FaultEnd(const Measurement& aMeasurement)
{
  return aMeasurement.scenario.fault == Fault::TableDown
           ? std::min(kFaultStartMs + 20'000, aMeasurement.options.lengthMs)
           : kFaultStartMs + 8'000;
}

std::string
ClosedDomain(const Site& aSite)
{
  return aSite.domains[1];
}

void
PlanTrace(Measurement& aMeasurement)
{
  auto speeds = Speeds();
  double capacity = 0;
  for (double speed : speeds) {
    capacity += speed * kSlotsPerUpstream;
  }
  TraceOptions trace;
  trace.seed = aMeasurement.options.seed;
  trace.lengthMs = aMeasurement.options.lengthMs;
  trace.workMsPerSecond = aMeasurement.scenario.load * capacity * 1000;
  trace.burstFromMs = kFaultStartMs;
  trace.burstUntilMs = kFaultStartMs + 3'000;
  trace.burstFactor = aMeasurement.scenario.burstFactor;
  aMeasurement.trace = GenerateTrace(trace);
  std::size_t index = 0;
  for (auto& arrival : aMeasurement.trace) {
    ++index;
    bool isInCancelWave =
      arrival.atMs > kFaultStartMs && arrival.atMs < kFaultStartMs + 2'000;
    if (aMeasurement.scenario.fault == Fault::CancelWave && isInCancelWave &&
        !arrival.isSingleRequest) {
      arrival.cancelAfterMs = 200;
    }
    if (aMeasurement.scenario.fault == Fault::NeverFits &&
        !arrival.isSingleRequest && index % 7 == 0) {
      arrival.neverFits = true;
    }
  }
  for (std::size_t i = 0; i < kUpstreamCount; ++i) {
    IdealUpstream upstream{ kSlotsPerUpstream, speeds[i], 0, 0 };
    bool isInClosedDomain =
      aMeasurement.scenario.fault == Fault::DomainClosedAndReopened &&
      aMeasurement.site.domains[i % aMeasurement.site.domains.size()] ==
        ClosedDomain(aMeasurement.site);
    if (isInClosedDomain) {
      upstream.closedFromMs = kFaultStartMs;
      upstream.closedUntilMs = FaultEnd(aMeasurement);
    }
    aMeasurement.upstreams.push_back(upstream);
  }
}

std::string
RequestId(std::size_t aIndex)
{
  return "m-" + std::to_string(aIndex);
}

std::string
RequestBody(const Arrival& aArrival, std::size_t aIndex, WallTime aStart)
{
  auto deadline =
    aStart +
    Milliseconds(static_cast<std::int64_t>(aArrival.atMs + kDeadlineMs));
  auto makeTask = [&aArrival](double aTimeMs) {
    Json json{ { "kind", "count" },
               { "payload", fmt::format("{:.1f}", aTimeMs) } };
    if (aArrival.neverFits) {
      json["accelerators"] = 1000;
    }
    return json;
  };
  auto team = fmt::format("team-{}", aIndex % 2);
  if (aArrival.isSingleRequest) {
    auto body = makeTask(aArrival.taskTimesMs[0]);
    body["idempotent"] = true;
    body["request_id"] = RequestId(aIndex);
    body["team"] = team;
    body["deadline_ms"] = deadline.time_since_epoch().count();
    return body.dump();
  }
  Json body{ { "submission_id", RequestId(aIndex) },
             { "team", team },
             { "deadline_ms", deadline.time_since_epoch().count() },
             { "tasks", Json::array() } };
  for (std::size_t i = 0; i < aArrival.taskTimesMs.size(); ++i) {
    auto item = makeTask(aArrival.taskTimesMs[i]);
    item["id"] = std::to_string(i);
    body["tasks"].push_back(std::move(item));
  }
  return body.dump();
}

std::vector<ScheduledRequest>
PlanRequests(const Measurement& aMeasurement,
             const Deployment& aDeployment,
             WallTime aStart)
{
  std::vector<ScheduledRequest> requests;
  for (std::size_t i = 0; i < aMeasurement.trace.size(); ++i) {
    const auto& arrival = aMeasurement.trace[i];
    // Distributes requests as a load balancer does, which uses only entries
    // that are ready.
    auto entry = i % kEntryCount;
    bool isEntryKilled = aMeasurement.scenario.fault == Fault::EntryKilled &&
                         entry == 0 && arrival.atMs > kFaultStartMs - 20;
    auto url = aDeployment.EntryUrl(isEntryKilled ? 1 : entry);
    auto path = arrival.isSingleRequest ? "/v1/requests" : "/v1/submissions";
    requests.push_back({ arrival.atMs + aMeasurement.site.clientDelayMs,
                         "POST",
                         url + path,
                         RequestBody(arrival, i, aStart) });
  }
  // The trace is sorted by time, so the POST requests keep its order when the
  // cancellations are sorted in between.
  for (std::size_t i = 0; i < aMeasurement.trace.size(); ++i) {
    const auto& arrival = aMeasurement.trace[i];
    if (arrival.cancelAfterMs > 0) {
      requests.push_back({ arrival.atMs + arrival.cancelAfterMs,
                           "DELETE",
                           aDeployment.EntryUrl(i % kEntryCount) +
                             "/v1/submissions/" + RequestId(i),
                           "" });
    }
  }
  std::stable_sort(requests.begin(),
                   requests.end(),
                   [](const auto& aLeft, const auto& aRight) {
                     return aLeft.atMs < aRight.atMs;
                   });
  return requests;
}

Json
DomainPatch(const Measurement& aMeasurement, const char* aState)
{
  return {
    { "failure_domains",
      { { ClosedDomain(aMeasurement.site), { { "state", aState } } } } }
  };
}

std::vector<ScheduledAction>
PlanFaultActions(Measurement& aMeasurement, Deployment& aDeployment)
{
  constexpr std::size_t kFaultyUpstream = 4;
  auto end = FaultEnd(aMeasurement);
  switch (aMeasurement.scenario.fault) {
    case Fault::DomainClosedAndReopened:
      return { { kFaultStartMs,
                 [&] {
                   aDeployment.Patch(1, 0, DomainPatch(aMeasurement, "closed"));
                   aMeasurement.closedAtUs = Deployment::NowMicroseconds();
                 } },
               { end, [&] {
                  aMeasurement.reopenedAtUs = Deployment::NowMicroseconds();
                  aDeployment.Patch(1, 1, DomainPatch(aMeasurement, "open"));
                } } };
    case Fault::WorkerFails:
      return {
        { kFaultStartMs,
          [&] {
            aDeployment.ControlUpstream(kFaultyUpstream, { { "fail", true } });
          } },
        { end,
          [&] {
            aDeployment.ControlUpstream(kFaultyUpstream, { { "fail", false } });
          } }
      };
    case Fault::Straggler:
      return { { kFaultStartMs,
                 [&] {
                   aDeployment.ControlUpstream(
                     kFaultyUpstream,
                     { { "speed", Speeds()[kFaultyUpstream] / 10 } });
                 } },
               { end, [&] {
                  aDeployment.ControlUpstream(
                    kFaultyUpstream,
                    { { "speed", Speeds()[kFaultyUpstream] } });
                } } };
    case Fault::TableDown:
      return { { kFaultStartMs,
                 [&] {
                   aDeployment.ControlTable({ { "mode", "down" } });
                 } },
               { end, [&] {
                  aDeployment.ControlTable({ { "mode", "up" } });
                } } };
    case Fault::EntryKilled:
      return { { kFaultStartMs, [&] { aDeployment.Entry(0).Kill(); } } };
    default:
      return {};
  }
}

/**
 * Counts the frames so far that carried neither a task nor an answer, by sender
 * and type. "start_again" is the number of starts that entries sent minus the
 * number of starts at the agents.
 */
std::map<std::string, double>
CountControlFrames(const Deployment& aDeployment)
{
  std::map<std::string, double> frames;
  const std::string name = "vanillaworks_control_frames_total";
  auto add = [&frames](const std::map<std::string, double>& aCounts,
                       const std::string& aSender) {
    for (const auto& [type, count] : aCounts) {
      frames[aSender + type] += count;
    }
  };
  auto& repeatedStarts = frames["start_again"];
  for (std::size_t i = 0; i < kEntryCount; ++i) {
    add(aDeployment.Metrics(i, name), "entry ");
    repeatedStarts += aDeployment.Metric(i, "vanillaworks_starts_total");
  }
  for (std::size_t i = 0; i < kUpstreamCount; ++i) {
    add(aDeployment.AgentMetrics(i, name), "agent ");
    repeatedStarts -= aDeployment.AgentMetric(i, "vanillaworks_starts_total");
  }
  return frames;
}

double
Percentile(std::vector<double> aValues, double aFraction)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  auto index = static_cast<std::size_t>(
    aFraction * static_cast<double>(aValues.size() - 1));
  return aValues[index];
}

Json
BuildReport(const Measurement& aMeasurement,
            const std::vector<system::StartRecord>& aRecords)
{
  double delay =
    aMeasurement.site.clientDelayMs + aMeasurement.site.hostDelayMs;
  auto idealResult = SimulateIdealScheduler(aMeasurement.trace,
                                            aMeasurement.upstreams,
                                            delay,
                                            aMeasurement.options.lengthMs);
  std::map<std::string, std::size_t> stateCounts;
  std::map<std::string, std::size_t> reasonCounts;
  std::vector<double> slowdowns;
  std::vector<double> singleSlowdowns;
  std::vector<double> jobSlowdowns;
  std::size_t lateCount = 0;
  for (std::size_t i = 0; i < aMeasurement.trace.size(); ++i) {
    const auto& arrival = aMeasurement.trace[i];
    const auto& outcome = aMeasurement.outcomes[i];
    auto body = Json::parse(outcome.body, nullptr, false);
    auto state =
      body.is_object() ? body.value("state", "refused") : std::string("broken");
    ++stateCounts[state];
    if (state != "complete") {
      ++reasonCounts[body.is_object() ? body.value("reason", "other")
                                      : "broken"];
    }
    auto elapsedMs =
      outcome.completedAtMs + aMeasurement.site.clientDelayMs - arrival.atMs;
    lateCount +=
      elapsedMs > kDeadlineMs + aMeasurement.site.clientDelayMs * 2 ? 1 : 0;
    if (state == "complete" && arrival.atMs >= kWarmUpMs) {
      auto slowdown = elapsedMs / (idealResult.endsMs[i] - arrival.atMs);
      slowdowns.push_back(slowdown);
      (arrival.isSingleRequest ? singleSlowdowns : jobSlowdowns)
        .push_back(slowdown);
    }
  }
  std::map<std::pair<std::string, std::uint32_t>, int> startCounts;
  std::size_t startedTwice = 0;
  std::size_t startedClosed = 0;
  double workDoneMs = 0;
  for (const auto& record : aRecords) {
    bool isClaimed = record.submission.starts_with("m-");
    startedTwice +=
      isClaimed && startCounts[{ record.submission, record.task }]++ > 0;
    auto index = static_cast<std::size_t>(
      std::stoi(record.upstream.substr(record.upstream.find('-') + 1)));
    bool isInClosedDomain =
      aMeasurement.closedAtUs != 0 &&
      aMeasurement.site.domains[index % aMeasurement.site.domains.size()] ==
        ClosedDomain(aMeasurement.site);
    auto graceEndUs = aMeasurement.closedAtUs +
                      static_cast<std::int64_t>(kClosingGraceMs * 1000);
    startedClosed += isInClosedDomain && record.startedAt > graceEndUs &&
                         record.startedAt < aMeasurement.reopenedAtUs
                       ? 1
                       : 0;
    bool isInTime =
      record.endedAt != 0 && record.endedAt - aMeasurement.startedAtUs <=
                               aMeasurement.options.lengthMs * 1000;
    if (isInTime) {
      workDoneMs += static_cast<double>(record.endedAt - record.startedAt) /
                    1000 * aMeasurement.upstreams[index].speed;
    }
  }
  auto mean = slowdowns.empty()
                ? 0
                : std::accumulate(slowdowns.begin(), slowdowns.end(), 0.0) /
                    static_cast<double>(slowdowns.size());
  auto round = [](double aValue) { return std::round(aValue * 1000) / 1000; };
  double controlFrames = 0;
  Json byType = Json::object();
  for (const auto& [type, count] : aMeasurement.controlFrames) {
    controlFrames += count;
    if (count != 0) {
      byType[type] = count;
    }
  }
  return { { "deployment", aMeasurement.site.name },
           { "scenario", aMeasurement.scenario.name },
           { "policy", aMeasurement.policy },
           { "seed", aMeasurement.options.seed },
           { "load", aMeasurement.scenario.load },
           { "slowdown_mean", round(mean) },
           { "slowdown_p50", round(Percentile(slowdowns, 0.5)) },
           { "slowdown_p99", round(Percentile(slowdowns, 0.99)) },
           { "single_p50", round(Percentile(singleSlowdowns, 0.5)) },
           { "single_p99", round(Percentile(singleSlowdowns, 0.99)) },
           { "job_p50", round(Percentile(jobSlowdowns, 0.5)) },
           { "job_p99", round(Percentile(jobSlowdowns, 0.99)) },
           { "wasted_per_task",
             round(controlFrames / static_cast<double>(aRecords.size())) },
           { "wasted_by_type", byType },
           { "work_ratio", round(workDoneMs / idealResult.workDoneMs) },
           { "requests", aMeasurement.trace.size() },
           { "answered", stateCounts["complete"] },
           { "failed", stateCounts["failed"] },
           { "may_have_run", stateCounts["may_have_run"] },
           { "not_run", stateCounts["not_run"] },
           { "refused_or_broken",
             stateCounts["refused"] + stateCounts["broken"] },
           { "reasons", reasonCounts },
           { "late", lateCount },
           { "tasks_started", aRecords.size() },
           { "started_twice", startedTwice },
           { "started_closed", startedClosed } };
}

bool
RunMeasurement(Measurement& aMeasurement)
{
  system::DeploymentOptions deployment;
  deployment.entries = kEntryCount;
  deployment.domains = aMeasurement.site.domains;
  deployment.upstreams = kUpstreamCount;
  deployment.slots = kSlotsPerUpstream;
  deployment.speeds = Speeds();
  deployment.usesRelays = true;
  deployment.hasAgentStatusEndpoints = true;
  deployment.relayDelayMicroseconds =
    static_cast<std::int64_t>(aMeasurement.site.hostDelayMs * 1000);
  if (aMeasurement.policy == "naive") {
    deployment.entrySettings["policy"] = "random";
    deployment.entrySettings["retry_share"] = 1;
    deployment.agentSettings["queue"] = 1'000'000;
  }
  Deployment system(deployment);
  if (!system.WaitUntilReady()) {
    std::cerr << "the deployment did not become ready\n";
    return false;
  }
  system.ControlTable({ { "delay_ms", kTableDelayMs } });
  PlanTrace(aMeasurement);
  auto requests = PlanRequests(aMeasurement, system, WallNow());
  auto actions = PlanFaultActions(aMeasurement, system);
  auto framesBefore = CountControlFrames(system);
  aMeasurement.startedAtUs = Deployment::NowMicroseconds();
  auto outcomes =
    SendRequests(requests, std::move(actions), [&aMeasurement](double aNowMs) {
      std::cerr << fmt::format("\r{} {} {}: {:.0f} s ",
                               aMeasurement.site.name,
                               aMeasurement.scenario.name,
                               aMeasurement.policy,
                               aNowMs / 1000);
    });
  std::cerr << "\n";
  for (std::size_t i = 0; i < requests.size(); ++i) {
    if (requests[i].method == "POST") {
      aMeasurement.outcomes.push_back(std::move(outcomes[i]));
    }
  }
  // The counters of a killed entry are lost, so no difference can be computed.
  if (aMeasurement.scenario.fault != Fault::EntryKilled) {
    aMeasurement.controlFrames = CountControlFrames(system);
    for (const auto& [type, count] : framesBefore) {
      aMeasurement.controlFrames[type] -= count;
    }
  }
  std::cout << BuildReport(aMeasurement, system.StartRecords()).dump() << "\n"
            << std::flush;
  return true;
}
}

int
main(int aCount, char** aArguments)
{
  po::options_description options("Runs load scenarios against real processes "
                                  "and prints one JSON line for each");
  options.add_options()("help", "print this help and exit")(
    "scenario",
    po::value<std::vector<std::string>>(),
    "run only this scenario; can be repeated")(
    "policy",
    po::value<std::string>()->default_value("both"),
    "naive, current or both")("deployment",
                              po::value<std::string>()->default_value("both"),
                              "jordan, karoo or both")(
    "seed", po::value<std::uint64_t>()->default_value(1), "seed of the trace")(
    "seconds",
    po::value<double>()->default_value(30),
    "length of the trace in seconds");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(aCount, aArguments, options), values);
  } catch (const po::error& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
  if (values.count("help") != 0) {
    std::cout << options;
    return EXIT_SUCCESS;
  }
  std::set<std::string> selectedScenarios;
  if (values.count("scenario") != 0) {
    auto names = values["scenario"].as<std::vector<std::string>>();
    selectedScenarios.insert(names.begin(), names.end());
  }
  auto policy = values["policy"].as<std::string>();
  auto selectedDeployment = values["deployment"].as<std::string>();
  Options runOptions{ values["seed"].as<std::uint64_t>(),
                      values["seconds"].as<double>() * 1000 };
  for (const auto& site : Sites()) {
    for (const auto& scenario : Scenarios()) {
      for (const std::string name : { "naive", "current" }) {
        bool isWanted =
          (selectedDeployment == "both" || selectedDeployment == site.name) &&
          (policy == "both" || policy == name) &&
          (selectedScenarios.empty() ||
           selectedScenarios.contains(scenario.name));
        if (!isWanted) {
          continue;
        }
        Measurement measurement{ site, scenario, name, runOptions, {}, {},
                                 {},   0,        0,    0,          {} };
        if (!RunMeasurement(measurement)) {
          return EXIT_FAILURE;
        }
      }
    }
  }
  return EXIT_SUCCESS;
}
