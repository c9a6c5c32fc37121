#ifndef review_Record_2_h
#define review_Record_2_h

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>
#include <vector>

namespace vanillaworks::review {

/** One run of a task at a runner, as the runner sees it. */
struct Run
{
  std::string runner;
  /** ID.K.STEP.INDEX */
  std::string task;
  std::uint32_t number = 0;
  std::int64_t startedMs = 0;
  /** 0 while it goes on. */
  std::int64_t endedMs = 0;
  std::string how;
};

/** Writes what was sent, answered and run to a file. Thread safe. */
class Record
{
public:
  explicit Record(const std::string& aPath);

  void Write(const std::string& aLine);
  /** Returns the index of the new run. */
  std::size_t OnStarted(const std::string& aRunner,
                        const std::string& aTask,
                        std::uint32_t aNumber);
  void OnEnded(std::size_t aRun, const std::string& aHow);
  std::vector<Run> Runs() const;
  std::int64_t StartedMs() const { return startedMs_; }

private:
  mutable std::mutex mutex_;
  std::ofstream file_;
  std::int64_t startedMs_;
  std::vector<Run> runs_;
};

}

#endif
