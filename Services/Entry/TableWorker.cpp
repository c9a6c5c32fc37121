#include "Services/Entry/TableWorker.h"

#include <algorithm>
#include <random>

namespace vanillaworks::entry {

namespace {
constexpr Milliseconds kInitialBackoff{ 20 };
constexpr Milliseconds kMaxBackoff{ 1000 };
constexpr Milliseconds kIdleWait{ 50 };
}

TableWorker::TableWorker(std::unique_ptr<platform::TableService> aTable,
                         std::unique_ptr<platform::ObjectStore> aObjects,
                         platform::OperationBatcherLimits aLimits,
                         std::function<void(bool)> aOnAvailabilityChanged)
  : table_(std::move(aTable))
  , objects_(std::move(aObjects))
  , batcher_(*table_, *objects_, aLimits)
  , onAvailabilityChanged_(std::move(aOnAvailabilityChanged))
  , thread_([this] { Run(); })
{
}

TableWorker::~TableWorker()
{
  {
    std::scoped_lock lock(mutex_);
    isStopping_ = true;
  }
  wake_.notify_all();
  thread_.join();
}

void
TableWorker::Add(platform::TableOperation aOperation, Milliseconds aDelay)
{
  {
    std::scoped_lock lock(mutex_);
    queue_.push_back({ MonotonicNow() + aDelay, std::move(aOperation) });
  }
  wake_.notify_all();
}

bool
TableWorker::CollectDue()
{
  std::unique_lock lock(mutex_);
  if (!batcher_.HasWork() && !isStopping_) {
    wake_.wait_for(lock, kIdleWait);
  }
  auto now = MonotonicNow();
  std::deque<QueuedOperation> later;
  for (auto& queued : queue_) {
    if (queued.due <= now) {
      batcher_.Add(std::move(queued.operation));
    } else {
      later.push_back(std::move(queued));
    }
  }
  queue_ = std::move(later);
  return !isStopping_;
}

void
TableWorker::Run()
{
  // The jitter keeps entries that lost the table at the same time from
  // retrying at the same time.
  std::mt19937_64 generator(std::random_device{}());
  auto backoff = kInitialBackoff;
  bool isAvailable = true;
  while (CollectDue()) {
    if (!batcher_.HasWork()) {
      continue;
    }
    auto result = batcher_.Step();
    pendingCount_ = batcher_.Pending();
    bool isDown = result == platform::BatchResult::TableUnavailable;
    if (isDown == isAvailable) {
      isAvailable = !isDown;
      onAvailabilityChanged_(isAvailable);
    }
    if (!isDown) {
      backoff = kInitialBackoff;
      continue;
    }
    std::uniform_int_distribution<std::int64_t> jitter(0, backoff.count());
    std::unique_lock lock(mutex_);
    wake_.wait_for(lock, Milliseconds(jitter(generator)) + backoff / 2, [this] {
      return isStopping_;
    });
    backoff = std::min(backoff * 2, kMaxBackoff);
  }
}

}
