#include "Services/Entry/EntryApi.h"

#include <nlohmann/json.hpp>

namespace vanillaworks::entry {

namespace {
using Json = nlohmann::json;
constexpr int kStatusOk = 200;
constexpr int kStatusAccepted = 202;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusConflict = 409;
constexpr int kStatusTooLarge = 413;
constexpr int kStatusBadGateway = 502;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusTimeout = 504;

std::string
Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

int
StatusOf(const dispatch::Answer& aAnswer)
{
  if (aAnswer.reason == dispatch::AnswerReason::DigestMismatch) {
    return kStatusConflict;
  }
  switch (aAnswer.state) {
    case dispatch::AnswerState::Complete:
      return kStatusOk;
    case dispatch::AnswerState::Failed:
      return kStatusBadGateway;
    case dispatch::AnswerState::NotRun:
      return kStatusUnavailable;
    case dispatch::AnswerState::MayHaveRun:
      return kStatusTimeout;
  }
  return kStatusBadGateway;
}

std::string_view
PatchProblemName(dispatch::PatchProblemKind aKind)
{
  switch (aKind) {
    case dispatch::PatchProblemKind::NotJson:
      return "not_json";
    case dispatch::PatchProblemKind::UnknownKey:
      return "unknown_key";
    case dispatch::PatchProblemKind::WrongType:
      return "wrong_type";
    case dispatch::PatchProblemKind::UnknownState:
      return "unknown_state";
    case dispatch::PatchProblemKind::OutOfRange:
      return "out_of_range";
  }
  return "not_json";
}

std::string_view
UpstreamState(const dispatch::UpstreamRecord& aRecord,
              const dispatch::ConfigurationDocument& aDocument,
              MonotonicTime aNow)
{
  if (!aRecord.isLinkUp) {
    return "unreachable";
  }
  if (aDocument.IsClosed(aRecord.hello.domain)) {
    return "failure_domain_closed";
  }
  if (aDocument.IsLeaving(aRecord.hello.upstream)) {
    return aRecord.outstanding.empty() ? "drained" : "leaving";
  }
  if (aRecord.stopping) {
    return "stopping";
  }
  if (aRecord.setAside) {
    return "set_aside";
  }
  if (!aRecord.registered) {
    return "not_registered";
  }
  return aRecord.avoidUntil > aNow ? "refusing" : "in_service";
}
}

ApiReply
ReplyForAnswer(const dispatch::Answer& aAnswer)
{
  Json body{ { "submission_id", aAnswer.submission.Value() },
             { "state", AnswerStateName(aAnswer.state) },
             { "reason", AnswerReasonName(aAnswer.reason) } };
  if (aAnswer.state == dispatch::AnswerState::Complete) {
    auto tasks = Json::array();
    for (const auto& task : aAnswer.tasks) {
      tasks.push_back(
        { { "id", task.id.Value() }, { "payload", task.payload } });
    }
    body["tasks"] = std::move(tasks);
  }
  return { StatusOf(aAnswer), Dump(body) };
}

ApiReply
ReplyForProblem(const dispatch::RequestProblem& aProblem)
{
  bool isTooLarge = aProblem.kind == dispatch::RequestProblemKind::TooManyTasks;
  return { isTooLarge ? kStatusTooLarge : kStatusBadRequest,
           Dump({ { "error",
                    { { "reason", RequestProblemName(aProblem.kind) },
                      { "path", aProblem.path } } } }) };
}

ApiReply
ReplyForError(int aStatus, std::string_view aReason)
{
  return { aStatus, Dump({ { "error", { { "reason", aReason } } } }) };
}

ApiReply
ReplyForRunning(const dispatch::Submission& aSubmission)
{
  return { kStatusAccepted,
           Dump({ { "submission_id", aSubmission.request.id.Value() },
                  { "state", "running" },
                  { "tasks_unfinished", aSubmission.unfinished },
                  { "tasks_total", aSubmission.tasks.size() } }) };
}

ApiReply
ReplyForDecisions(const dispatch::Submission& aSubmission)
{
  auto decisions = Json::array();
  for (const auto& decision : aSubmission.decisions) {
    std::chrono::duration<double, std::milli> after =
      decision.when - aSubmission.submittedAt;
    Json item{ { "after_ms", after.count() },
               { "decision", DecisionKindName(decision.kind) } };
    if (!decision.upstream.Value().empty()) {
      item["upstream"] = decision.upstream.Value();
      item["task"] = decision.task;
    }
    if (!decision.reason.empty()) {
      item["reason"] = decision.reason;
    }
    decisions.push_back(std::move(item));
  }
  return { kStatusOk,
           Dump({ { "submission_id", aSubmission.request.id.Value() },
                  { "decisions", std::move(decisions) } }) };
}

ApiReply
ReplyForConfiguration(const dispatch::ConfigurationDocument& aDocument,
                      const VersionStatus& aStatus)
{
  return { kStatusOk,
           Dump({ { "version", aDocument.version.Value() },
                  { "fresh", aStatus.isFresh },
                  { "entries", aStatus.entries },
                  { "entries_with_version", aStatus.entriesWithVersion },
                  { "document", Json::parse(aDocument.text) } }) };
}

ApiReply
ReplyForUpstreams(const dispatch::UpstreamDirectory& aDirectory,
                  const dispatch::ConfigurationDocument& aDocument,
                  MonotonicTime aNow)
{
  auto upstreams = Json::array();
  for (const auto& [id, record] : aDirectory.All()) {
    Json serviceTimes = Json::object();
    for (const auto& [kind, speed] : record.serviceTimes) {
      serviceTimes[kind.Value()] = speed.Mean() / 1000.0;
    }
    upstreams.push_back({ { "upstream", id.Value() },
                          { "failure_domain", record.hello.domain.Value() },
                          { "state", UpstreamState(record, aDocument, aNow) },
                          { "slots", record.hello.slots },
                          { "occupancy", record.EstimatedOccupancy() },
                          { "outstanding", record.outstanding.size() },
                          { "mean_service_ms", std::move(serviceTimes) } });
  }
  return { kStatusOk, Dump({ { "upstreams", std::move(upstreams) } }) };
}

ApiReply
ReplyForPatchFailure(const platform::PatchOutcome& aOutcome)
{
  if (const auto* mismatch =
        std::get_if<platform::PatchVersionMismatch>(&aOutcome)) {
    return { kStatusConflict,
             Dump(
               { { "error",
                   { { "reason", "version_mismatch" },
                     { "current_version", mismatch->current.Value() } } } }) };
  }
  if (const auto* problem = std::get_if<dispatch::PatchProblem>(&aOutcome)) {
    return { kStatusBadRequest,
             Dump({ { "error",
                      { { "reason", PatchProblemName(problem->kind) },
                        { "path", problem->path } } } }) };
  }
  if (std::holds_alternative<platform::PatchOutcomeUnknown>(aOutcome)) {
    return ReplyForError(kStatusTimeout, "outcome_unknown");
  }
  return ReplyForError(kStatusUnavailable, "table_unavailable");
}

std::optional<PatchRequest>
ParsePatchRequest(const std::string& aBody)
{
  auto body = Json::parse(aBody, nullptr, false);
  bool isValid =
    body.is_object() && body.size() == 2 && body.contains("base_version") &&
    body["base_version"].is_number_unsigned() && body.contains("patch");
  if (!isValid) {
    return {};
  }
  return PatchRequest{ ConfigurationVersion(
                         body["base_version"].get<std::uint64_t>()),
                       body["patch"].dump() };
}

}
