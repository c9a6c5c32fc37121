#ifndef review_Record_h
#define review_Record_h

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

using Milliseconds = std::chrono::milliseconds;

/** Milliseconds of the steady clock since the program started. */
std::int64_t
NowMs();

/** Sleeps until NowMs() is aTimeMs. */
void
SleepUntilMs(std::int64_t aTimeMs);

void
SleepMs(std::int64_t aDurationMs);

/** Writes the events of a case, with their times, to record.txt. Thread safe.
 */
class Record
{
public:
  explicit Record(const std::string& aPath);

  void Write(const std::string& aLine);

private:
  std::mutex mutex_;
  std::ofstream file_;
};

}

#endif
