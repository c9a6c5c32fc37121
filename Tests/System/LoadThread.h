#ifndef Tests_System_LoadThread_h
#define Tests_System_LoadThread_h

#include "Tests/System/Deployment.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace vanillaworks::system {

/** Submits jobs one after another from several threads until stopped. */
class LoadThread
{
public:
  struct Outcome
  {
    std::string id;
    /** The answer's state; "broken" when the connection broke. */
    std::string state;
    std::size_t results;
  };

  LoadThread(const Deployment& aDeployment,
             std::vector<std::size_t> aEntries,
             std::size_t aTasks,
             int aMilliseconds,
             const std::string& aName = "load",
             std::size_t aThreads = 2)
  {
    for (std::size_t i = 0; i < aThreads; ++i) {
      threads_.emplace_back(
        [this, &aDeployment, aEntries, aTasks, aMilliseconds, aName, i] {
          for (std::size_t n = 0; !stopping_; ++n) {
            auto id = aName + "-" + std::to_string(i) + "-" + std::to_string(n);
            auto answer =
              aDeployment.Submit(aEntries[(n + i) % aEntries.size()],
                                 Deployment::Job(id, aTasks, aMilliseconds));
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

  ~LoadThread() { Stop(); }

  /** Waits for what is in flight. */
  std::vector<Outcome> Stop()
  {
    stopping_ = true;
    for (auto& thread : threads_) {
      if (thread.joinable()) {
        thread.join();
      }
    }
    std::scoped_lock lock(mutex_);
    return outcomes_;
  }

private:
  std::atomic<bool> stopping_{ false };
  std::mutex mutex_;
  std::vector<Outcome> outcomes_;
  std::vector<std::thread> threads_;
};

}

#endif
