#ifndef Tests_Soak_SoakRound_h
#define Tests_Soak_SoakRound_h

#include "Tests/Soak/InvariantChecks.h"
#include "Tests/System/PlatformDeployment.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace vanillaworks::system {

/**
 * Runs a deployment under load for one seed, injects random faults, and checks
 * the invariants on the records of the runners and the callers.
 */
class SoakRound
{
public:
  SoakRound(std::uint64_t aSeed, int aSeconds);

  /** Returns the violations found; empty if every invariant held. */
  std::vector<std::string> Run();

private:
  std::size_t PickNumber(std::size_t aMin, std::size_t aMax);
  std::size_t PickEntry() { return PickNumber(0, kEntryCount - 1); }
  std::size_t PickWorker() { return PickNumber(0, kWorkerCount - 1); }
  void SleepRandomly(std::size_t aMinMs, std::size_t aMaxMs);

  void RunCaller(std::uint64_t aCaller);
  /** Submits a job as a caller does and records the answer. */
  CallerAnswer SubmitAndRecord(std::size_t aEntry,
                               const std::string& aId,
                               int aTaskMilliseconds,
                               Milliseconds aTimeout);
  void InjectFault();
  void InjectProcessFault(Process& aProcess);
  void InjectRunnerFault();
  void InjectStoreFault();
  void InjectNetworkFault();
  /** Submits a job of which one task crashes each runner that starts it. */
  void SubmitCrashingJob();
  void ChangeCapacity();
  /** Lets clients pipeline requests to an entry without reading responses. */
  void SendWithoutReading();
  /**
   * An entry is lost while tasks of several seconds run, and an agent freezes
   * shortly before it would have stopped its runs of them.
   */
  void LoseEntryAndFreezeAgent();
  /**
   * The next three functions end all other faults first, so that the time
   * bounds of closing, draining and stopping can be checked.
   */
  void CloseDomainTemporarily();
  void DrainWorkerTemporarily();
  void StopEntryGracefully();
  /** Ends all faults of the store, the network and the runners. */
  void Recover();
  void CheckRecovery();
  void CheckResourceUse(const std::string& aName, const Process& aProcess);
  void ReportViolation(std::string aViolation);

  static constexpr std::size_t kEntryCount = 3;
  static constexpr std::size_t kWorkerCount = 6;
  static constexpr std::size_t kNoEntry = kEntryCount;

  std::mt19937_64 random_;
  int seconds_;
  PlatformDeployment deployment_;
  std::atomic<bool> isStopping_{ false };
  /** The entry that callers avoid, as the load balancer would; or kNoEntry. */
  std::atomic<std::size_t> avoidedEntry_{ kNoEntry };
  /** Number of the graceful stop in progress; 0 if there is none. */
  std::atomic<int> gracefulStop_{ 0 };
  int gracefulStopCount_ = 0;
  std::uint64_t pairedLossCount_ = 0;
  std::uint64_t crashingJobCount_ = 0;
  std::vector<std::thread> callers_;
  std::vector<NoStartInterval> noStartIntervals_;
  std::mutex mutex_;
  std::vector<CallerRecord> callerRecords_;
  std::vector<std::string> violations_;
};

}

#endif
