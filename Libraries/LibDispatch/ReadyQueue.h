#ifndef Libraries_LibDispatch_ReadyQueue_h
#define Libraries_LibDispatch_ReadyQueue_h

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibProtocol/TaskKey.h"

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>

namespace vanillaworks::dispatch {

struct ReadyTask
{
  protocol::TaskKey key;
  TeamId team;
  std::uint32_t rank = 0;
  MonotonicTime deadline;
};

/** What VisitInOrder() does after a visit. */
enum class VisitResult : std::uint8_t
{
  /** Remove the task, which was placed, and continue. */
  Remove,
  /** Keep the task and continue with the next one. */
  Skip,
  /** Keep the task and continue with the next team. */
  SkipTeam,
  /** Keep the task and end the traversal. */
  Stop
};

/**
 * Tasks that wait to be placed. Lower ranks come first, within a rank the team
 * with the fewest tasks in flight, and within a team the earliest deadline.
 * Not thread safe.
 */
class ReadyQueue
{
public:
  void Push(const ReadyTask& aTask);
  void Erase(const protocol::TaskKey& aKey);

  /** Visits the tasks in order. The visitor must not change the queue. */
  void VisitInOrder(
    const std::function<VisitResult(const ReadyTask&)>& aVisitor);

  void OnPlaced(const TeamId& aTeam) { ++inFlight_[aTeam]; }
  void OnEnded(const TeamId& aTeam);
  std::uint32_t InFlight(const TeamId& aTeam) const;
  std::size_t Size() const { return places_.size(); }

private:
  struct Order
  {
    MonotonicTime deadline;
    std::uint64_t sequence;
    friend auto operator<=>(const Order&, const Order&) = default;
  };
  struct Place
  {
    std::uint32_t rank;
    TeamId team;
    Order order;
  };
  using TeamQueue = std::map<Order, ReadyTask>;

  std::map<std::uint32_t, std::map<TeamId, TeamQueue>> ranks_;
  std::unordered_map<protocol::TaskKey, Place> places_;
  std::unordered_map<TeamId, std::uint32_t> inFlight_;
  std::uint64_t nextSequence_ = 0;
};

}

#endif
