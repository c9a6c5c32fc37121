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

/** The thread on which a OperationBatcher talks to the platform. */
class TableWorker
{
public:
  /** aOnAvailability: called on the thread when the table goes or returns. */
  TableWorker(std::unique_ptr<platform::TableService> aTable,
              std::unique_ptr<platform::ObjectStore> aObjects,
              platform::OperationBatcherLimits aLimits,
              std::function<void(bool)> aOnAvailability);
  ~TableWorker();
  TableWorker(const TableWorker&) = delete;
  TableWorker& operator=(const TableWorker&) = delete;

  /** Thread safe. */
  void Add(platform::TableOperation aOperation, Milliseconds aDelay = {});
  /** Operations without an answer. Thread safe. */
  std::size_t Pending() const { return pending_; }

private:
  struct Waiting
  {
    MonotonicTime due;
    platform::TableOperation operation;
  };

  void Run();
  /** Moves what is due to the keeper; false when it is time to end. */
  bool Collect();

  std::unique_ptr<platform::TableService> table_;
  std::unique_ptr<platform::ObjectStore> objects_;
  platform::OperationBatcher keeper_;
  std::function<void(bool)> onAvailability_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Waiting> waiting_;
  std::atomic<std::size_t> pending_{ 0 };
  bool ending_ = false;
  std::thread thread_;
};

}

#endif
