#include "LibDispatch/ReadyQueue.h"

#include <set>

namespace vanillaworks::dispatch {

void
ReadyQueue::Push(const ReadyTask& aTask)
{
  Order order{ aTask.deadline, nextSequence_++ };
  places_[aTask.key] = { aTask.rank, aTask.team, order };
  ranks_[aTask.rank][aTask.team].emplace(order, aTask);
}

void
ReadyQueue::Erase(const protocol::TaskKey& aKey)
{
  auto found = places_.find(aKey);
  if (found == places_.end()) {
    return;
  }
  auto& teams = ranks_[found->second.rank];
  auto& queue = teams[found->second.team];
  queue.erase(found->second.order);
  if (queue.empty()) {
    teams.erase(found->second.team);
  }
  places_.erase(found);
}

void
ReadyQueue::VisitInOrder(
  const std::function<VisitResult(const ReadyTask&)>& aVisitor)
{
  for (auto& [rank, teams] : ranks_) {
    // Each placement changes the order of the teams, so the team with the
    // fewest tasks in flight is determined again for each task.
    std::set<std::pair<std::uint32_t, TeamId>> order;
    std::map<TeamId, TeamQueue::iterator> next;
    for (auto& [team, queue] : teams) {
      order.emplace(InFlight(team), team);
      next.emplace(team, queue.begin());
    }
    while (!order.empty()) {
      auto team = order.begin()->second;
      order.erase(order.begin());
      auto& queue = teams[team];
      auto& task = next[team];
      if (task == queue.end()) {
        continue;
      }
      auto result = aVisitor(task->second);
      if (result == VisitResult::Stop) {
        return;
      }
      if (result == VisitResult::SkipTeam) {
        continue;
      }
      if (result == VisitResult::Remove) {
        places_.erase(task->second.key);
        OnPlaced(team);
        task = queue.erase(task);
      } else {
        ++task;
      }
      order.emplace(InFlight(team), team);
    }
    std::erase_if(teams,
                  [](const auto& aItem) { return aItem.second.empty(); });
  }
}

void
ReadyQueue::OnEnded(const TeamId& aTeam)
{
  auto found = inFlight_.find(aTeam);
  if (found != inFlight_.end() && --found->second == 0) {
    inFlight_.erase(found);
  }
}

std::uint32_t
ReadyQueue::InFlight(const TeamId& aTeam) const
{
  auto found = inFlight_.find(aTeam);
  return found == inFlight_.end() ? 0 : found->second;
}

}
