#ifndef Tests_System_Process_h
#define Tests_System_Process_h

#include <string>
#include <sys/types.h>
#include <vector>

namespace vanillaworks::system {

/** A child process of a test, which the destructor kills. */
class Process
{
public:
  /**
   * Starts the program at the path aArguments[0]. Its standard output and
   * error are appended to aLogPath. Id() is -1 if it could not be started.
   */
  Process(std::vector<std::string> aArguments, const std::string& aLogPath);
  ~Process();
  Process(Process&& aOther) noexcept;
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t Id() const { return id_; }
  void Signal(int aNumber) const;
  /** Sends SIGKILL and waits until the process has ended. */
  void Kill();
  /**
   * Returns the exit status, or -1 if the process was ended by a signal, still
   * runs after aSeconds or was never started.
   */
  int WaitForExit(int aSeconds);

private:
  pid_t id_ = -1;
};

}

#endif
