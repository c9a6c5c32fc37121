#ifndef Tests_Soak_SoakRound_h
#define Tests_Soak_SoakRound_h

#include "Tests/Soak/RecordJudge.h"
#include "Tests/System/PlatformDeployment.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace vanillaworks::system {

/** One played seed: load, faults from outside, and the records' verdict. */
class SoakRound
{
public:
  SoakRound(std::uint64_t aSeed, int aSeconds);

  /** Broken promises; empty is good. */
  std::vector<std::string> Play();

private:
  std::size_t Pick(std::size_t aLeast, std::size_t aMost);
  std::size_t PickEntry() { return Pick(0, kEntries - 1); }
  std::size_t PickWorker() { return Pick(0, kWorkers - 1); }
  void Wait(std::size_t aLeastMs, std::size_t aMostMs);

  void CallOften(std::uint64_t aCaller);
  void Fault();
  void FaultProcess(Process& aProcess);
  void FaultRunner();
  void FaultStore();
  void FaultPath();
  /** Calm spells, in which a promise's bound can be judged. */
  void CloseDomainForAWhile();
  void DrainForAWhile();
  void StopEntryGracefully();
  /** Everything outside works again. */
  void Mend();
  void JudgeReturn();
  void JudgeSize(const std::string& aName, const Process& aProcess);
  void Find(std::string aWhat);

  static constexpr std::size_t kEntries = 3;
  static constexpr std::size_t kWorkers = 6;
  static constexpr std::size_t kNoEntry = kEntries;

  std::mt19937_64 random_;
  int seconds_;
  PlatformDeployment deployment_;
  std::atomic<bool> stop_{ false };
  /** The balancer has turned away from it. */
  std::atomic<std::size_t> avoided_{ kNoEntry };
  /** Numbers calm stops; 0 between them. */
  std::atomic<int> calmStop_{ 0 };
  int calmStops_ = 0;
  std::vector<QuietTime> quiet_;
  std::mutex mutex_;
  std::vector<CallerRecord> callers_;
  std::vector<std::string> found_;
};

}

#endif
