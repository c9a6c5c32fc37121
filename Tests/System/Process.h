#ifndef Tests_System_Process_h
#define Tests_System_Process_h

#include <string>
#include <sys/types.h>
#include <vector>

namespace vanillaworks::system {

/** A child process of a test; killed when it goes out of scope. */
class Process
{
public:
  /** aArguments[0] is the program's path; output is appended to aLogPath. */
  Process(std::vector<std::string> aArguments, const std::string& aLogPath);
  ~Process();
  Process(Process&& aOther) noexcept;
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t Id() const { return id_; }
  void Signal(int aNumber) const;
  /** SIGKILL, and wait. */
  void Kill();
  /** Waits for the end; -1 when it takes longer. */
  int WaitForExit(int aSeconds);

private:
  pid_t id_ = -1;
};

}

#endif
