#include "review/Record-2.h"

#include "review/Http-2.h"

namespace vanillaworks::review {

Record::Record(const std::string& aPath)
  : file_(aPath)
  , startedMs_(NowMs())
{
}

void
Record::Write(const std::string& aLine)
{
  std::scoped_lock lock(mutex_);
  file_ << NowMs() - startedMs_ << " ms  " << aLine << std::endl;
}

std::size_t
Record::OnStarted(const std::string& aRunner,
                  const std::string& aTask,
                  std::uint32_t aNumber)
{
  Write(aRunner + " starts " + aTask + " run " + std::to_string(aNumber));
  std::scoped_lock lock(mutex_);
  runs_.push_back({ aRunner, aTask, aNumber, NowMs(), 0, "" });
  return runs_.size() - 1;
}

void
Record::OnEnded(std::size_t aRun, const std::string& aHow)
{
  std::string line;
  {
    std::scoped_lock lock(mutex_);
    auto& run = runs_[aRun];
    run.endedMs = NowMs();
    run.how = aHow;
    line = run.runner + " ends " + run.task + " run " +
           std::to_string(run.number) + ": " + aHow;
  }
  Write(line);
}

std::vector<Run>
Record::Runs() const
{
  std::scoped_lock lock(mutex_);
  return runs_;
}

}
