#ifndef Services_Entry_TableWorker_h
#define Services_Entry_TableWorker_h

#include "LibPlatform/ClaimKeeper.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace vanillaworks::entry {

/** The thread on which a ClaimKeeper talks to the platform. */
class TableWorker
{
public:
  /** aOnAvailabilityChanged: called on the thread when the table goes or
   * returns. */
  TableWorker(std::unique_ptr<platform::TableService> aTable,
              std::unique_ptr<platform::ObjectStore> aObjects,
              platform::ClaimKeeperLimits aLimits,
              std::function<void(bool)> aOnAvailabilityChanged);
  ~TableWorker();
  TableWorker(const TableWorker&) = delete;
  TableWorker& operator=(const TableWorker&) = delete;

  /** Thread safe. */
  void Add(platform::TableOperation aOperation, Milliseconds aDelay = {});
  /** Operations without an answer. Thread safe. */
  std::size_t Pending() const { return pendingCount_; }

private:
  struct QueuedOperation
  {
    MonotonicTime due;
    platform::TableOperation operation;
  };

  void Run();
  /** Moves what is due to the keeper; false when it is time to end. */
  bool CollectDue();

  std::unique_ptr<platform::TableService> table_;
  std::unique_ptr<platform::ObjectStore> objects_;
  platform::ClaimKeeper keeper_;
  std::function<void(bool)> onAvailabilityChanged_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<QueuedOperation> queue_;
  std::atomic<std::size_t> pendingCount_{ 0 };
  bool isStopping_ = false;
  std::thread thread_;
};

}

#endif
