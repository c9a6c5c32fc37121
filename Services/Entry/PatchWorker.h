#ifndef Services_Entry_PatchWorker_h
#define Services_Entry_PatchWorker_h

#include "LibPlatform/PatchWriter.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>

namespace vanillaworks::entry {

/** Runs the thread that applies operators' patches, one at a time. */
class PatchWorker
{
public:
  explicit PatchWorker(std::unique_ptr<platform::TableService> aTable);
  ~PatchWorker();
  PatchWorker(const PatchWorker&) = delete;
  PatchWorker& operator=(const PatchWorker&) = delete;

  /**
   * Queues a patch of version aBase. aDone is called on the worker's thread.
   * Thread safe.
   */
  void Apply(ConfigurationVersion aBase,
             std::string aPatch,
             std::function<void(platform::PatchOutcome)> aDone);

private:
  struct PendingPatch
  {
    ConfigurationVersion base;
    std::string patch;
    std::function<void(platform::PatchOutcome)> done;
  };
  void Run();

  std::unique_ptr<platform::TableService> table_;
  platform::PatchWriter writer_;
  std::mt19937_64 generator_{ std::random_device{}() };
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<PendingPatch> pendingPatches_;
  bool isStopping_ = false;
  std::thread thread_;
};

}

#endif
