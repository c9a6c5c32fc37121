#ifndef Services_Entry_TableWorker_h
#define Services_Entry_TableWorker_h

#include "LibPlatform/OperationBatcher.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace vanillaworks::entry {

/** Runs the thread on which an OperationBatcher uses table and object store. */
class TableWorker
{
public:
  /**
   * aOnAvailabilityChanged is called on the worker's thread when the table
   * stops or resumes answering, with whether it is available.
   */
  TableWorker(std::unique_ptr<platform::TableService> aTable,
              std::unique_ptr<platform::ObjectStore> aObjects,
              platform::OperationBatcherLimits aLimits,
              std::function<void(bool)> aOnAvailabilityChanged);
  ~TableWorker();
  TableWorker(const TableWorker&) = delete;
  TableWorker& operator=(const TableWorker&) = delete;

  /** Queues an operation to start after aDelay. Thread safe. */
  void Add(platform::TableOperation aOperation, Milliseconds aDelay = {});
  /** The number of operations in the batcher without an outcome. Thread safe.
   */
  std::size_t Pending() const { return pendingCount_; }

private:
  struct QueuedOperation
  {
    MonotonicTime due;
    platform::TableOperation operation;
  };

  void Run();
  /** Hands due operations to the batcher. Returns false once stopping. */
  bool CollectDue();

  std::unique_ptr<platform::TableService> table_;
  std::unique_ptr<platform::ObjectStore> objects_;
  platform::OperationBatcher batcher_;
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
