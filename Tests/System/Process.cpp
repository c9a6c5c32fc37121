#include "Tests/System/Process.h"

#include "LibCore/Time.h"

#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <thread>
#include <utility>

extern char** environ;

namespace vanillaworks::system {

Process::Process(std::vector<std::string> aArguments,
                 const std::string& aLogPath)
{
  constexpr mode_t kLogMode = 0644;
  std::vector<char*> arguments;
  for (auto& argument : aArguments) {
    arguments.push_back(argument.data());
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  for (int descriptor : { 1, 2 }) {
    posix_spawn_file_actions_addopen(&actions,
                                     descriptor,
                                     aLogPath.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND,
                                     kLogMode);
  }
  // A child that kept a caller's socket would hide that the caller has closed
  // it.
  constexpr int kFirstInherited = 3;
  posix_spawn_file_actions_addclosefrom_np(&actions, kFirstInherited);
  if (posix_spawn(
        &id_, arguments[0], &actions, nullptr, arguments.data(), environ) !=
      0) {
    id_ = -1;
  }
  posix_spawn_file_actions_destroy(&actions);
}

Process::Process(Process&& aOther) noexcept
  : id_(std::exchange(aOther.id_, -1))
{
}

Process::~Process()
{
  Kill();
}

void
Process::Signal(int aNumber) const
{
  if (id_ > 0) {
    ::kill(id_, aNumber);
  }
}

void
Process::Kill()
{
  if (id_ > 0) {
    ::kill(id_, SIGKILL);
    ::waitpid(id_, nullptr, 0);
    id_ = -1;
  }
}

int
Process::WaitForExit(int aSeconds)
{
  if (id_ <= 0) {
    // Without this, any other child or the lack of one would be reported.
    return -1;
  }
  auto until = MonotonicNow() + std::chrono::seconds(aSeconds);
  int status = 0;
  while (MonotonicNow() < until) {
    if (::waitpid(id_, &status, WNOHANG) == id_) {
      id_ = -1;
      return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return -1;
}

}
