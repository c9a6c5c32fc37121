#include "LibCore/Time.h"
#include "Tests/System/Deployment.h"
#include "Utilities/Ideal.h"
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

constexpr std::size_t kUpstreams = 11;
constexpr std::size_t kSlots = 8;
constexpr std::size_t kEntries = 3;
constexpr double kTableDelay = 3;
constexpr double kTroubleFrom = 8'000;
constexpr double kDeadline = 30'000;
constexpr double kFewSeconds = 3'000;
constexpr double kLearnTime = 4'000;

struct Options
{
  std::uint64_t seed = 1;
  double length = 30'000;
};

/** Speeds that differ by four, in an order unlike that of the domains. */
std::vector<double>
Speeds()
{
  return { 1.0, 0.5, 2.0, 0.7, 1.4, 1.0, 0.6, 1.7, 0.8, 1.2, 0.5 };
}

struct Run
{
  const Site& site;
  const Scenario& scenario;
  std::string policy;
  Options options;
  std::vector<Arrival> trace;
  std::vector<IdealUpstream> upstreams;
  std::vector<CallOutcome> outcomes;
  std::int64_t startedAt = 0;
  std::int64_t closedAt = 0;
  std::int64_t openedAt = 0;
  std::map<std::string, double> wasted;
};

double
TroubleEnd(const Run& aRun)
{
  return aRun.scenario.trouble == Trouble::TableDown
           ? std::min(kTroubleFrom + 20'000, aRun.options.length)
           : kTroubleFrom + 8'000;
}

std::string
OutDomain(const Site& aSite)
{
  return aSite.domains[1];
}

void
PlanTrace(Run& aRun)
{
  auto speeds = Speeds();
  double capacity = 0;
  for (double speed : speeds) {
    capacity += speed * kSlots;
  }
  TraceOptions trace;
  trace.seed = aRun.options.seed;
  trace.lengthMilliseconds = aRun.options.length;
  trace.workPerSecond = aRun.scenario.load * capacity * 1000;
  trace.burstFrom = kTroubleFrom;
  trace.burstTo = kTroubleFrom + 3'000;
  trace.burstFactor = aRun.scenario.burstFactor;
  aRun.trace = MakeTrace(trace);
  std::size_t index = 0;
  for (auto& arrival : aRun.trace) {
    ++index;
    bool isInTrouble =
      arrival.at > kTroubleFrom && arrival.at < kTroubleFrom + 2'000;
    if (aRun.scenario.trouble == Trouble::CancelWave && isInTrouble &&
        !arrival.isSingle) {
      arrival.cancelAfter = 200;
    }
    if (aRun.scenario.trouble == Trouble::NeverFits && !arrival.isSingle &&
        index % 7 == 0) {
      arrival.neverFits = true;
    }
  }
  for (std::size_t i = 0; i < kUpstreams; ++i) {
    IdealUpstream upstream{ kSlots, speeds[i], 0, 0 };
    bool isOut =
      aRun.scenario.trouble == Trouble::DomainOutAndBack &&
      aRun.site.domains[i % aRun.site.domains.size()] == OutDomain(aRun.site);
    if (isOut) {
      upstream.closedFrom = kTroubleFrom;
      upstream.closedTo = TroubleEnd(aRun);
    }
    aRun.upstreams.push_back(upstream);
  }
}

std::string
IdOf(std::size_t aIndex)
{
  return "m-" + std::to_string(aIndex);
}

std::string
BodyOf(const Arrival& aArrival, std::size_t aIndex, WallTime aStart)
{
  auto deadline =
    aStart + Milliseconds(static_cast<std::int64_t>(aArrival.at + kDeadline));
  auto task = [&aArrival](double aTime) {
    Json json{ { "kind", "count" },
               { "payload", fmt::format("{:.1f}", aTime) } };
    if (aArrival.neverFits) {
      json["accelerators"] = 1000;
    }
    return json;
  };
  auto team = fmt::format("team-{}", aIndex % 2);
  if (aArrival.isSingle) {
    auto body = task(aArrival.tasks[0]);
    body["idempotent"] = true;
    body["request_id"] = IdOf(aIndex);
    body["team"] = team;
    body["deadline_ms"] = deadline.time_since_epoch().count();
    return body.dump();
  }
  Json body{ { "submission_id", IdOf(aIndex) },
             { "team", team },
             { "deadline_ms", deadline.time_since_epoch().count() },
             { "tasks", Json::array() } };
  for (std::size_t i = 0; i < aArrival.tasks.size(); ++i) {
    auto item = task(aArrival.tasks[i]);
    item["id"] = std::to_string(i);
    body["tasks"].push_back(std::move(item));
  }
  return body.dump();
}

std::vector<Call>
PlanCalls(const Run& aRun, const Deployment& aDeployment, WallTime aStart)
{
  std::vector<Call> calls;
  for (std::size_t i = 0; i < aRun.trace.size(); ++i) {
    const auto& arrival = aRun.trace[i];
    // The balancer gives each caller one of the entries that are ready.
    auto entry = i % kEntries;
    bool isKilled = aRun.scenario.trouble == Trouble::EntryKilled &&
                    entry == 0 && arrival.at > kTroubleFrom - 20;
    auto url = aDeployment.EntryUrl(isKilled ? 1 : entry);
    auto path = arrival.isSingle ? "/v1/requests" : "/v1/submissions";
    calls.push_back({ arrival.at + aRun.site.toClients,
                      "POST",
                      url + path,
                      BodyOf(arrival, i, aStart) });
  }
  // Cancellations come last, so that the first calls match the trace.
  for (std::size_t i = 0; i < aRun.trace.size(); ++i) {
    const auto& arrival = aRun.trace[i];
    if (arrival.cancelAfter > 0) {
      calls.push_back(
        { arrival.at + arrival.cancelAfter,
          "DELETE",
          aDeployment.EntryUrl(i % kEntries) + "/v1/submissions/" + IdOf(i),
          "" });
    }
  }
  std::stable_sort(
    calls.begin(), calls.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.at < aRight.at;
    });
  return calls;
}

Json
DomainPatch(const Run& aRun, const char* aState)
{
  return { { "failure_domains",
             { { OutDomain(aRun.site), { { "state", aState } } } } } };
}

std::vector<TimedAction>
PlanTrouble(Run& aRun, Deployment& aDeployment)
{
  constexpr std::size_t kBadUpstream = 4;
  auto end = TroubleEnd(aRun);
  switch (aRun.scenario.trouble) {
    case Trouble::DomainOutAndBack:
      return { { kTroubleFrom,
                 [&] {
                   aDeployment.Patch(1, 0, DomainPatch(aRun, "closed"));
                   aRun.closedAt = Deployment::NowMicroseconds();
                 } },
               { end, [&] {
                  aRun.openedAt = Deployment::NowMicroseconds();
                  aDeployment.Patch(1, 1, DomainPatch(aRun, "open"));
                } } };
    case Trouble::WorkerFails:
      return {
        { kTroubleFrom,
          [&] {
            aDeployment.ControlUpstream(kBadUpstream, { { "fail", true } });
          } },
        { end,
          [&] {
            aDeployment.ControlUpstream(kBadUpstream, { { "fail", false } });
          } }
      };
    case Trouble::Straggler:
      return { { kTroubleFrom,
                 [&] {
                   aDeployment.ControlUpstream(
                     kBadUpstream,
                     { { "speed", Speeds()[kBadUpstream] / 10 } });
                 } },
               { end, [&] {
                  aDeployment.ControlUpstream(
                    kBadUpstream, { { "speed", Speeds()[kBadUpstream] } });
                } } };
    case Trouble::TableDown:
      return { { kTroubleFrom,
                 [&] {
                   aDeployment.ControlTable({ { "mode", "down" } });
                 } },
               { end, [&] {
                  aDeployment.ControlTable({ { "mode", "up" } });
                } } };
    case Trouble::EntryKilled:
      return { { kTroubleFrom, [&] { aDeployment.Entry(0).Kill(); } } };
    default:
      return {};
  }
}

/** Frames so far that carried neither a task nor an answer, by type. */
std::map<std::string, double>
ControlFrames(const Deployment& aDeployment)
{
  std::map<std::string, double> frames;
  const std::string name = "vanillaworks_control_frames_total";
  auto add = [&frames](const std::map<std::string, double>& aCounts,
                       const std::string& aWho) {
    for (const auto& [type, count] : aCounts) {
      frames[aWho + type] += count;
    }
  };
  auto& again = frames["start_again"];
  for (std::size_t i = 0; i < kEntries; ++i) {
    add(aDeployment.Metrics(i, name), "entry ");
    again += aDeployment.Metric(i, "vanillaworks_starts_total");
  }
  for (std::size_t i = 0; i < kUpstreams; ++i) {
    add(aDeployment.AgentMetrics(i, name), "agent ");
    again -= aDeployment.AgentMetric(i, "vanillaworks_starts_total");
  }
  return frames;
}

double
Percentile(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  auto index =
    static_cast<std::size_t>(aShare * static_cast<double>(aValues.size() - 1));
  return aValues[index];
}

Json
Report(const Run& aRun, const std::vector<system::StartRecord>& aRecords)
{
  double delay = aRun.site.toClients + aRun.site.betweenHosts;
  auto ideal = RunIdeal(aRun.trace, aRun.upstreams, delay, aRun.options.length);
  std::map<std::string, std::size_t> states;
  std::map<std::string, std::size_t> reasons;
  std::vector<double> slowdowns;
  std::vector<double> singles;
  std::vector<double> jobs;
  std::size_t late = 0;
  for (std::size_t i = 0; i < aRun.trace.size(); ++i) {
    const auto& arrival = aRun.trace[i];
    const auto& outcome = aRun.outcomes[i];
    auto body = Json::parse(outcome.body, nullptr, false);
    auto state =
      body.is_object() ? body.value("state", "refused") : std::string("broken");
    ++states[state];
    if (state != "complete") {
      ++reasons[body.is_object() ? body.value("reason", "other") : "broken"];
    }
    auto took = outcome.answeredAt + aRun.site.toClients - arrival.at;
    late += took > kDeadline + aRun.site.toClients * 2 ? 1 : 0;
    // What the upstreams are asked first teaches the entries their speeds.
    if (state == "complete" && arrival.at >= kLearnTime) {
      auto slowdown = took / (ideal.ends[i] - arrival.at);
      slowdowns.push_back(slowdown);
      (arrival.isSingle ? singles : jobs).push_back(slowdown);
    }
  }
  std::map<std::pair<std::string, std::uint32_t>, int> starts;
  std::size_t twice = 0;
  std::size_t closed = 0;
  double work = 0;
  for (const auto& record : aRecords) {
    bool isClaimed = record.submission.starts_with("m-");
    twice += isClaimed && starts[{ record.submission, record.task }]++ > 0;
    auto index = static_cast<std::size_t>(
      std::stoi(record.upstream.substr(record.upstream.find('-') + 1)));
    bool isOut = aRun.closedAt != 0 &&
                 aRun.site.domains[index % aRun.site.domains.size()] ==
                   OutDomain(aRun.site);
    auto graceEnd =
      aRun.closedAt + static_cast<std::int64_t>(kFewSeconds * 1000);
    closed +=
      isOut && record.startedAt > graceEnd && record.startedAt < aRun.openedAt
        ? 1
        : 0;
    bool isInTime = record.endedAt != 0 && record.endedAt - aRun.startedAt <=
                                             aRun.options.length * 1000;
    if (isInTime) {
      work += static_cast<double>(record.endedAt - record.startedAt) / 1000 *
              aRun.upstreams[index].speed;
    }
  }
  auto mean = slowdowns.empty()
                ? 0
                : std::accumulate(slowdowns.begin(), slowdowns.end(), 0.0) /
                    static_cast<double>(slowdowns.size());
  auto round = [](double aValue) { return std::round(aValue * 1000) / 1000; };
  double wasted = 0;
  Json byType = Json::object();
  for (const auto& [type, count] : aRun.wasted) {
    wasted += count;
    if (count != 0) {
      byType[type] = count;
    }
  }
  return { { "deployment", aRun.site.name },
           { "scenario", aRun.scenario.name },
           { "policy", aRun.policy },
           { "seed", aRun.options.seed },
           { "load", aRun.scenario.load },
           { "slowdown_mean", round(mean) },
           { "slowdown_p50", round(Percentile(slowdowns, 0.5)) },
           { "slowdown_p99", round(Percentile(slowdowns, 0.99)) },
           { "single_p50", round(Percentile(singles, 0.5)) },
           { "single_p99", round(Percentile(singles, 0.99)) },
           { "job_p50", round(Percentile(jobs, 0.5)) },
           { "job_p99", round(Percentile(jobs, 0.99)) },
           { "wasted_per_task",
             round(wasted / static_cast<double>(aRecords.size())) },
           { "wasted_by_type", byType },
           { "work_ratio", round(work / ideal.workDone) },
           { "requests", aRun.trace.size() },
           { "answered", states["complete"] },
           { "failed", states["failed"] },
           { "may_have_run", states["may_have_run"] },
           { "not_run", states["not_run"] },
           { "refused_or_broken", states["refused"] + states["broken"] },
           { "reasons", reasons },
           { "late", late },
           { "tasks_started", aRecords.size() },
           { "started_twice", twice },
           { "started_closed", closed } };
}

bool
Measure(Run& aRun)
{
  system::DeploymentOptions deployment;
  deployment.entries = kEntries;
  deployment.domains = aRun.site.domains;
  deployment.upstreams = kUpstreams;
  deployment.slots = kSlots;
  deployment.speeds = Speeds();
  deployment.usesRelays = true;
  deployment.hasAgentStatusEndpoints = true;
  deployment.relayDelayMicroseconds =
    static_cast<std::int64_t>(aRun.site.betweenHosts * 1000);
  if (aRun.policy == "naive") {
    deployment.entrySettings["policy"] = "random";
    deployment.entrySettings["retry_share"] = 1;
    deployment.agentSettings["queue"] = 1'000'000;
  }
  Deployment system(deployment);
  if (!system.WaitUntilReady()) {
    std::cerr << "the deployment did not come up\n";
    return false;
  }
  system.ControlTable({ { "delay_ms", kTableDelay } });
  PlanTrace(aRun);
  auto calls = PlanCalls(aRun, system, WallNow());
  auto actions = PlanTrouble(aRun, system);
  auto before = ControlFrames(system);
  aRun.startedAt = Deployment::NowMicroseconds();
  auto outcomes = RunCalls(calls, std::move(actions), [&aRun](double aNow) {
    std::cerr << fmt::format("\r{} {} {}: {:.0f} s ",
                             aRun.site.name,
                             aRun.scenario.name,
                             aRun.policy,
                             aNow / 1000);
  });
  std::cerr << "\n";
  for (std::size_t i = 0; i < calls.size(); ++i) {
    if (calls[i].method == "POST") {
      aRun.outcomes.push_back(std::move(outcomes[i]));
    }
  }
  // A killed entry's counters are gone with it.
  if (aRun.scenario.trouble != Trouble::EntryKilled) {
    aRun.wasted = ControlFrames(system);
    for (const auto& [type, count] : before) {
      aRun.wasted[type] -= count;
    }
  }
  std::cout << Report(aRun, system.StartRecords()).dump() << "\n" << std::flush;
  return true;
}
}

int
main(int aCount, char** aArguments)
{
  po::options_description options(
    "Runs scenarios on real processes and prints a JSON line each");
  options.add_options()("help", "print this text and end")(
    "scenario", po::value<std::vector<std::string>>(), "only these")(
    "policy",
    po::value<std::string>()->default_value("both"),
    "naive, current")("deployment",
                      po::value<std::string>()->default_value("both"),
                      "jordan, karoo")(
    "seed", po::value<std::uint64_t>()->default_value(1), "")(
    "seconds", po::value<double>()->default_value(30), "length of the trace");
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
  std::set<std::string> chosen;
  if (values.count("scenario") != 0) {
    auto names = values["scenario"].as<std::vector<std::string>>();
    chosen.insert(names.begin(), names.end());
  }
  auto policy = values["policy"].as<std::string>();
  auto wanted = values["deployment"].as<std::string>();
  Options run{ values["seed"].as<std::uint64_t>(),
               values["seconds"].as<double>() * 1000 };
  for (const auto& site : Sites()) {
    for (const auto& scenario : Scenarios()) {
      for (const std::string name : { "naive", "current" }) {
        bool isWanted = (wanted == "both" || wanted == site.name) &&
                        (policy == "both" || policy == name) &&
                        (chosen.empty() || chosen.contains(scenario.name));
        if (!isWanted) {
          continue;
        }
        Run measured{ site, scenario, name, run, {}, {}, {}, 0, 0, 0, {} };
        if (!Measure(measured)) {
          return EXIT_FAILURE;
        }
      }
    }
  }
  return EXIT_SUCCESS;
}
