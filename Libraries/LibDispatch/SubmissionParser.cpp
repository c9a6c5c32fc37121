#include "LibDispatch/SubmissionParser.h"

#include <fmt/format.h>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <xxhash.h>

namespace vanillaworks::dispatch {

namespace {
using Json = nlohmann::json;
using Kind = RequestProblemKind;
constexpr std::size_t kMaxIdBytes = 200;

/** Reads the fields of one JSON object and rejects unknown ones. */
class ObjectFields
{
public:
  ObjectFields(const Json& aObject, std::string aPath)
    : object_(aObject)
    , path_(std::move(aPath))
  {
  }

  Failure<RequestProblem> Problem(Kind aKind, const std::string& aKey) const
  {
    return Failure{ RequestProblem{ aKind, path_ + "/" + aKey } };
  }

  const Json* Find(const std::string& aKey)
  {
    known_.insert(aKey);
    auto found = object_.find(aKey);
    return found == object_.end() ? nullptr : &*found;
  }

  Result<std::string, RequestProblem> Text(const std::string& aKey,
                                           std::size_t aMaxBytes)
  {
    const auto* value = Find(aKey);
    if (!value) {
      return Problem(Kind::MissingField, aKey);
    }
    if (!value->is_string()) {
      return Problem(Kind::WrongType, aKey);
    }
    auto text = value->get<std::string>();
    if (text.empty() || text.size() > aMaxBytes) {
      return Problem(Kind::OutOfRange, aKey);
    }
    return text;
  }

  Result<std::string, RequestProblem> OptionalText(const std::string& aKey)
  {
    const auto* value = Find(aKey);
    if (!value) {
      return std::string();
    }
    if (!value->is_string()) {
      return Problem(Kind::WrongType, aKey);
    }
    return value->get<std::string>();
  }

  Result<std::uint32_t, RequestProblem> Size(const std::string& aKey)
  {
    const auto* value = Find(aKey);
    if (!value) {
      return std::uint32_t{ 0 };
    }
    if (!value->is_number_integer()) {
      return Problem(Kind::WrongType, aKey);
    }
    if (value->is_number_unsigned()) {
      auto size = value->get<std::uint64_t>();
      if (size > std::numeric_limits<std::uint32_t>::max()) {
        return Problem(Kind::OutOfRange, aKey);
      }
      return static_cast<std::uint32_t>(size);
    }
    return Problem(Kind::NegativeSize, aKey);
  }

  Result<Success, RequestProblem> RejectUnknownFields() const
  {
    for (const auto& [key, value] : object_.items()) {
      if (!known_.contains(key)) {
        return Problem(Kind::UnknownField, key);
      }
    }
    return Success{};
  }

private:
  const Json& object_;
  std::string path_;
  std::set<std::string> known_;
};

Result<Json, RequestProblem>
ParseObject(std::string_view aBody)
{
  constexpr bool kThrow = false;
  auto json = Json::parse(aBody, nullptr, kThrow);
  if (json.is_discarded()) {
    return Failure{ RequestProblem{ Kind::NotJson, "" } };
  }
  if (!json.is_object()) {
    return Failure{ RequestProblem{ Kind::WrongType, "" } };
  }
  return json;
}

Result<WallTime, RequestProblem>
ReadDeadline(ObjectFields& aFields, const RequestLimits& aLimits, WallTime aNow)
{
  const auto* value = aFields.Find("deadline_ms");
  if (!value) {
    return aFields.Problem(Kind::MissingField, "deadline_ms");
  }
  if (!value->is_number_integer()) {
    return aFields.Problem(Kind::WrongType, "deadline_ms");
  }
  WallTime deadline{ Milliseconds(value->get<std::int64_t>()) };
  if (deadline <= aNow) {
    return aFields.Problem(Kind::DeadlinePassed, "deadline_ms");
  }
  if (deadline - aNow > aLimits.maxDeadline) {
    return aFields.Problem(Kind::DeadlineTooFar, "deadline_ms");
  }
  return deadline;
}

/** Reads the fields that tasks and single requests have in common. */
Result<TaskRequest, RequestProblem>
ReadTaskFields(ObjectFields& aFields)
{
  TaskRequest task;
  task.kind = TaskKind(VW_TRY(aFields.Text("kind", kMaxIdBytes)));
  task.payload = VW_TRY(aFields.OptionalText("payload"));
  task.demand.cores = VW_TRY(aFields.Size("cores"));
  task.demand.memoryMegabytes = VW_TRY(aFields.Size("memory_mb"));
  task.demand.accelerators = VW_TRY(aFields.Size("accelerators"));
  return task;
}

Result<std::vector<TaskRequest>, RequestProblem>
ReadTasks(ObjectFields& aFields, const RequestLimits& aLimits)
{
  const auto* list = aFields.Find("tasks");
  if (!list) {
    return aFields.Problem(Kind::MissingField, "tasks");
  }
  if (!list->is_array()) {
    return aFields.Problem(Kind::WrongType, "tasks");
  }
  if (list->empty()) {
    return aFields.Problem(Kind::NoTasks, "tasks");
  }
  if (list->size() > aLimits.maxTasks) {
    return aFields.Problem(Kind::TooManyTasks, "tasks");
  }
  std::vector<TaskRequest> tasks;
  tasks.reserve(list->size());
  std::set<std::string> ids;
  for (const auto& item : *list) {
    auto path = fmt::format("/tasks/{}", tasks.size());
    if (!item.is_object()) {
      return Failure{ RequestProblem{ Kind::WrongType, path } };
    }
    ObjectFields fields(item, path);
    auto id = VW_TRY(fields.Text("id", kMaxIdBytes));
    if (!ids.insert(id).second) {
      return fields.Problem(Kind::DuplicateTaskId, "id");
    }
    auto task = VW_TRY(ReadTaskFields(fields));
    VW_TRY(fields.RejectUnknownFields());
    task.id = TaskId(id);
    tasks.push_back(std::move(task));
  }
  return tasks;
}

std::string
DigestOf(const Json& aBody)
{
  // The dump has a canonical order of fields, so a resubmission with the
  // fields in another order has the same digest.
  auto text = aBody.dump(-1, ' ', false, Json::error_handler_t::replace);
  auto hash = XXH3_128bits(text.data(), text.size());
  return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}
}

Result<SubmissionRequest, RequestProblem>
ParseSubmission(std::string_view aBody,
                const RequestLimits& aLimits,
                WallTime aNow)
{
  auto body = VW_TRY(ParseObject(aBody));
  ObjectFields fields(body, "");
  SubmissionRequest request;
  request.id = SubmissionId(VW_TRY(fields.Text("submission_id", kMaxIdBytes)));
  request.team = TeamId(VW_TRY(fields.OptionalText("team")));
  request.deadline = VW_TRY(ReadDeadline(fields, aLimits, aNow));
  request.tasks = VW_TRY(ReadTasks(fields, aLimits));
  VW_TRY(fields.RejectUnknownFields());
  request.digest = DigestOf(body);
  return request;
}

Result<SubmissionRequest, RequestProblem>
ParseSingleRequest(std::string_view aBody,
                   const RequestLimits& aLimits,
                   WallTime aNow)
{
  auto body = VW_TRY(ParseObject(aBody));
  ObjectFields fields(body, "");
  SubmissionRequest request;
  const auto* idempotent = fields.Find("idempotent");
  if (!idempotent) {
    return fields.Problem(Kind::MissingField, "idempotent");
  }
  if (!idempotent->is_boolean()) {
    return fields.Problem(Kind::WrongType, "idempotent");
  }
  if (idempotent->get<bool>()) {
    request.durability = Durability::Repeatable;
    fields.Find("request_id");
  } else {
    request.id = SubmissionId(VW_TRY(fields.Text("request_id", kMaxIdBytes)));
  }
  request.team = TeamId(VW_TRY(fields.OptionalText("team")));
  request.deadline = VW_TRY(ReadDeadline(fields, aLimits, aNow));
  auto task = VW_TRY(ReadTaskFields(fields));
  VW_TRY(fields.RejectUnknownFields());
  task.id = TaskId("0");
  request.tasks.push_back(std::move(task));
  request.digest = DigestOf(body);
  return request;
}

}
