#include "review/Record.h"

#include <iomanip>
#include <thread>

namespace review {

std::int64_t
NowMs()
{
  static const auto sStart = std::chrono::steady_clock::now();
  auto elapsed = std::chrono::steady_clock::now() - sStart;
  return std::chrono::duration_cast<Milliseconds>(elapsed).count();
}

void
SleepMs(std::int64_t aDurationMs)
{
  std::this_thread::sleep_for(Milliseconds(aDurationMs));
}

void
SleepUntilMs(std::int64_t aTimeMs)
{
  auto left = aTimeMs - NowMs();
  if (left > 0) {
    SleepMs(left);
  }
}

Record::Record(const std::string& aPath)
  : file_(aPath)
{
}

void
Record::Write(const std::string& aLine)
{
  std::scoped_lock lock(mutex_);
  file_ << std::setw(7) << NowMs() << " ms  " << aLine << std::endl;
}

}
