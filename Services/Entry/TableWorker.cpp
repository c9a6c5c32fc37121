#include "Services/Entry/TableWorker.h"

#include <algorithm>
#include <random>

namespace vanillaworks::entry {

namespace {
constexpr Milliseconds kFirstBackoff{ 20 };
constexpr Milliseconds kLongestBackoff{ 1000 };
constexpr Milliseconds kIdleWait{ 50 };
}

TableWorker::TableWorker(std::unique_ptr<platform::TableService> aTable,
                         std::unique_ptr<platform::ObjectStore> aObjects,
                         platform::OperationBatcherLimits aLimits,
                         std::function<void(bool)> aOnAvailability)
  : table_(std::move(aTable))
  , objects_(std::move(aObjects))
  , keeper_(*table_, *objects_, aLimits)
  , onAvailability_(std::move(aOnAvailability))
  , thread_([this] { Run(); })
{
}

TableWorker::~TableWorker()
{
  {
    std::scoped_lock lock(mutex_);
    ending_ = true;
  }
  wake_.notify_all();
  thread_.join();
}

void
TableWorker::Add(platform::TableOperation aOperation, Milliseconds aDelay)
{
  {
    std::scoped_lock lock(mutex_);
    waiting_.push_back({ MonotonicNow() + aDelay, std::move(aOperation) });
  }
  wake_.notify_all();
}

bool
TableWorker::Collect()
{
  std::unique_lock lock(mutex_);
  if (!keeper_.HasWork() && !ending_) {
    wake_.wait_for(lock, kIdleWait);
  }
  auto now = MonotonicNow();
  std::deque<Waiting> later;
  for (auto& waiting : waiting_) {
    if (waiting.due <= now) {
      keeper_.Add(std::move(waiting.operation));
    } else {
      later.push_back(std::move(waiting));
    }
  }
  waiting_ = std::move(later);
  return !ending_;
}

void
TableWorker::Run()
{
  // Entries that lost the table together must not come back together.
  std::mt19937_64 generator(std::random_device{}());
  auto backoff = kFirstBackoff;
  bool isAvailable = true;
  while (Collect()) {
    if (!keeper_.HasWork()) {
      continue;
    }
    auto result = keeper_.Step();
    pending_ = keeper_.Pending();
    bool isDown = result == platform::BatchResult::TableUnavailable;
    if (isDown == isAvailable) {
      isAvailable = !isDown;
      onAvailability_(isAvailable);
    }
    if (!isDown) {
      backoff = kFirstBackoff;
      continue;
    }
    std::uniform_int_distribution<std::int64_t> jitter(0, backoff.count());
    std::unique_lock lock(mutex_);
    wake_.wait_for(lock, Milliseconds(jitter(generator)) + backoff / 2, [this] {
      return ending_;
    });
    backoff = std::min(backoff * 2, kLongestBackoff);
  }
}

}
