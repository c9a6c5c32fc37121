#include "Services/Entry/PatchWorker.h"

#include <fmt/format.h>

namespace vanillaworks::entry {

namespace {
constexpr Milliseconds kPatchBound{ 5000 };
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
    ending_ = true;
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
    jobs_.push_back({ aBase, std::move(aPatch), std::move(aDone) });
  }
  wake_.notify_all();
}

void
PatchWorker::Run()
{
  while (true) {
    Job job;
    {
      std::unique_lock lock(mutex_);
      wake_.wait(lock, [this] { return ending_ || !jobs_.empty(); });
      if (jobs_.empty()) {
        return;
      }
      job = std::move(jobs_.front());
      jobs_.pop_front();
    }
    auto nonce = fmt::format("{:016x}{:016x}", generator_(), generator_());
    job.done(
      writer_.Apply(job.base, job.patch, nonce, MonotonicNow() + kPatchBound));
  }
}

}
