#ifndef Libraries_LibService_EventLoop_h
#define Libraries_LibService_EventLoop_h

#include "LibCore/Time.h"
#include "LibService/Forward.h"

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace vanillaworks::service {

/**
 * An event loop (libevent) for sockets, timers, signals and functions posted by
 * other threads. Except for Post(), all methods must be called on the loop's
 * own thread or before Run().
 */
class EventLoop
{
public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  event_base* Base() { return base_; }

  /** Queues the function to run on the loop's thread. Thread safe. */
  void Post(std::function<void()> aFunction);
  void RunEvery(Milliseconds aInterval, std::function<void()> aFunction);
  void RunAfter(Milliseconds aDelay, std::function<void()> aFunction);
  /** Runs the function on SIGTERM and SIGINT instead of terminating. */
  void OnStopSignal(std::function<void()> aFunction);
  /** Runs the function on SIGHUP instead of terminating. */
  void OnReloadSignal(std::function<void()> aFunction);

  void Run();
  void Stop();

private:
  friend struct LoopCallbacks;
  struct Timer
  {
    EventLoop* loop;
    event* handle;
    std::function<void()> function;
    bool repeats;
  };

  struct Signal
  {
    event* handle;
    std::function<void()> function;
  };

  void AddSignal(int aNumber, std::function<void()> aFunction);
  void AddTimer(Milliseconds aDelay,
                bool aRepeats,
                std::function<void()> aFunction);
  void RunPosted();

  event_base* base_;
  event* wakeEvent_;
  std::vector<std::unique_ptr<Signal>> signals_;
  std::vector<std::unique_ptr<Timer>> timers_;
  std::mutex mutex_;
  std::vector<std::function<void()>> posted_;
};

}

#endif
