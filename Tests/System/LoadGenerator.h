#ifndef Tests_System_LoadGenerator_h
#define Tests_System_LoadGenerator_h

#include "Tests/System/Deployment.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace vanillaworks::system {

/** Submits jobs from several threads, one at a time on each, until stopped. */
class LoadGenerator
{
public:
  struct Outcome
  {
    std::string id;
    /**
     * State of the answer; "error" if the answer has no state, "broken" if no
     * answer arrived.
     */
    std::string state;
    /** Number of task results in the answer. */
    std::size_t results;
  };

  LoadGenerator(const Deployment& aDeployment,
                std::vector<std::size_t> aEntries,
                std::size_t aTaskCount,
                int aTaskMilliseconds,
                const std::string& aName = "load",
                std::size_t aThreadCount = 2)
  {
    for (std::size_t i = 0; i < aThreadCount; ++i) {
      threads_.emplace_back([this,
                             &aDeployment,
                             aEntries,
                             aTaskCount,
                             aTaskMilliseconds,
                             aName,
                             i] {
        for (std::size_t n = 0; !isStopping_; ++n) {
          auto id = aName + "-" + std::to_string(i) + "-" + std::to_string(n);
          auto answer = aDeployment.Submit(
            aEntries[(n + i) % aEntries.size()],
            Deployment::MakeJob(id, aTaskCount, aTaskMilliseconds));
          std::scoped_lock lock(mutex_);
          outcomes_.push_back(
            { id,
              answer ? answer->value("state", "error") : "broken",
              answer && answer->contains("tasks") ? (*answer)["tasks"].size()
                                                  : 0 });
        }
      });
    }
  }

  ~LoadGenerator() { Stop(); }

  /** Waits for the jobs in flight and returns the outcomes of all jobs. */
  std::vector<Outcome> Stop()
  {
    isStopping_ = true;
    for (auto& thread : threads_) {
      if (thread.joinable()) {
        thread.join();
      }
    }
    std::scoped_lock lock(mutex_);
    return outcomes_;
  }

private:
  std::atomic<bool> isStopping_{ false };
  std::mutex mutex_;
  std::vector<Outcome> outcomes_;
  std::vector<std::thread> threads_;
};

}

#endif
