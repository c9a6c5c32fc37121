#include "Services/Entry/PatchWorker.h"

#include <fmt/format.h>

namespace vanillaworks::entry {

namespace {
constexpr Milliseconds kPatchTimeout{ 5000 };
}

PatchWorker::PatchWorker(std::unique_ptr<platform::TableService> aTable)
  : table_(std::move(aTable))
  , writer_(*table_)
  , thread_([this] { Run(); })
{
}

PatchWorker::~PatchWorker()
{
  {
    std::scoped_lock lock(mutex_);
    isStopping_ = true;
  }
  wake_.notify_all();
  thread_.join();
}

void
PatchWorker::Apply(ConfigurationVersion aBase,
                   std::string aPatch,
                   std::function<void(platform::PatchOutcome)> aDone)
{
  {
    std::scoped_lock lock(mutex_);
    pendingPatches_.push_back({ aBase, std::move(aPatch), std::move(aDone) });
  }
  wake_.notify_all();
}

void
PatchWorker::Run()
{
  while (true) {
    PendingPatch pending;
    {
      std::unique_lock lock(mutex_);
      wake_.wait(lock,
                 [this] { return isStopping_ || !pendingPatches_.empty(); });
      if (pendingPatches_.empty()) {
        return;
      }
      pending = std::move(pendingPatches_.front());
      pendingPatches_.pop_front();
    }
    auto nonce = fmt::format("{:016x}{:016x}", generator_(), generator_());
    pending.done(writer_.Apply(
      pending.base, pending.patch, nonce, MonotonicNow() + kPatchTimeout));
  }
}

}
