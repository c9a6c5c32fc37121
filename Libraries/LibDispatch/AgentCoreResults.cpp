#include "LibDispatch/AgentCore.h"

#include <algorithm>
#include <vector>

namespace vanillaworks::dispatch {

using protocol::RefusalReason;
using protocol::ResultCode;

void
AgentCore::AnswerDuplicate(const EntryIdentity& aSender,
                           const protocol::TaskKey& aKey)
{
  port_.CountRefusal(RefusalReason::Duplicate);
  auto started = started_.find(aKey);
  bool isRunning = started != started_.end() && started->second.running;
  if (isRunning) {
    return;
  }
  auto held = started == started_.end()
                ? heldResults_.end()
                : heldResults_.find(started->second.result);
  if (held != heldResults_.end()) {
    return SendToOwner(aSender, held->second.result);
  }
  // The task did start here once, so the result must not be "not started".
  protocol::TaskResult result;
  result.key = aKey;
  result.code = ResultCode::Failed;
  result.reason = RefusalReason::Duplicate;
  SendToOwner(aSender, result);
}

void
AgentCore::OnTaskEnded(const protocol::TaskKey& aKey,
                       protocol::ResultCode aCode,
                       std::string aPayload,
                       Microseconds aService,
                       MonotonicTime aNow)
{
  gate_.End(aKey);
  auto started = started_.find(aKey);
  if (started != started_.end()) {
    if (aCode == ResultCode::Completed) {
      gate_.Breaker().OnSuccess();
    } else {
      gate_.Breaker().OnFailure(aKey.submission, aNow);
    }
    auto& task = started->second;
    --unfinishedByEntry_[task.sender.entry];
    task.running = false;
    task.result = nextResult_++;
    protocol::TaskResult result{
      task.result,     aKey, aCode, RefusalReason::None, std::move(aPayload),
      aService.count()
    };
    heldBytes_ += result.payload.size();
    auto expires = std::max(task.deadline, aNow) + limits_.gate.retention;
    heldResults_.emplace(task.result, HeldResult{ result, expires });
    while (heldBytes_ > limits_.heldResultBytes && heldResults_.size() > 1) {
      DropHeldResult(heldResults_.begin()->first);
    }
    // Queued tasks start first, so that the occupancy in the header of the
    // result is up to date.
    StartQueuedTasks(aNow);
    SendToOwner(task.owner, std::move(result));
    return;
  }
  StartQueuedTasks(aNow);
}

void
AgentCore::OnAcknowledged(const EntryIdentity& aFrom, std::uint64_t aResult)
{
  auto held = heldResults_.find(aResult);
  if (held == heldResults_.end()) {
    return;
  }
  auto started = started_.find(held->second.result.key);
  // A former owner may have got the result, but the present one needs it.
  bool isOwnerUnserved =
    started != started_.end() && started->second.owner != aFrom;
  if (!isOwnerUnserved) {
    DropHeldResult(aResult);
  }
}

void
AgentCore::DropHeldResult(std::uint64_t aNumber)
{
  auto held = heldResults_.find(aNumber);
  if (held == heldResults_.end()) {
    return;
  }
  heldBytes_ -= held->second.result.payload.size();
  heldResults_.erase(held);
}

void
AgentCore::DropExpiredResults(MonotonicTime aNow)
{
  // Results are numbered as tasks end, not in the order of their deadlines.
  std::vector<std::uint64_t> expired;
  for (const auto& [number, held] : heldResults_) {
    if (held.expires <= aNow) {
      expired.push_back(number);
    }
  }
  for (auto number : expired) {
    DropHeldResult(number);
  }
}

}
