#include "LibService/EventLoop.h"

#include <algorithm>
#include <csignal>
#include <event2/event.h>
#include <event2/thread.h>

namespace vanillaworks::service {

struct LoopCallbacks
{
  static void OnWake(evutil_socket_t, short, void* aLoop)
  {
    static_cast<EventLoop*>(aLoop)->RunPosted();
  }

  static void OnSignal(evutil_socket_t, short, void* aSignal)
  {
    static_cast<EventLoop::Signal*>(aSignal)->function();
  }

  static void OnTimer(evutil_socket_t, short, void* aTimer)
  {
    auto* timer = static_cast<EventLoop::Timer*>(aTimer);
    if (timer->repeats) {
      timer->function();
      return;
    }
    auto function = std::move(timer->function);
    auto* loop = timer->loop;
    event_free(timer->handle);
    std::erase_if(loop->timers_,
                  [timer](const auto& aItem) { return aItem.get() == timer; });
    function();
  }
};

EventLoop::EventLoop()
{
  evthread_use_pthreads();
  base_ = event_base_new();
  wakeEvent_ = event_new(base_, -1, EV_PERSIST, &LoopCallbacks::OnWake, this);
}

EventLoop::~EventLoop()
{
  for (auto& timer : timers_) {
    event_free(timer->handle);
  }
  for (auto& signal : signals_) {
    event_free(signal->handle);
  }
  event_free(wakeEvent_);
  event_base_free(base_);
}

void
EventLoop::Post(std::function<void()> aFunction)
{
  {
    std::scoped_lock lock(mutex_);
    posted_.push_back(std::move(aFunction));
    if (posted_.size() > 1) {
      return;
    }
  }
  event_active(wakeEvent_, EV_TIMEOUT, 0);
}

void
EventLoop::RunPosted()
{
  std::vector<std::function<void()>> posted;
  {
    std::scoped_lock lock(mutex_);
    posted.swap(posted_);
  }
  for (auto& function : posted) {
    function();
  }
}

void
EventLoop::RunEvery(Milliseconds aInterval, std::function<void()> aFunction)
{
  AddTimer(aInterval, true, std::move(aFunction));
}

void
EventLoop::RunAfter(Milliseconds aDelay, std::function<void()> aFunction)
{
  AddTimer(aDelay, false, std::move(aFunction));
}

void
EventLoop::AddTimer(Milliseconds aDelay,
                    bool aRepeats,
                    std::function<void()> aFunction)
{
  constexpr int kMillisecondsInSecond = 1000;
  constexpr int kMicrosecondsInMillisecond = 1000;
  auto timer = std::make_unique<Timer>();
  timer->loop = this;
  timer->repeats = aRepeats;
  timer->function = std::move(aFunction);
  short flags = aRepeats ? EV_PERSIST : 0;
  timer->handle =
    event_new(base_, -1, flags, &LoopCallbacks::OnTimer, timer.get());
  timeval delay{ aDelay.count() / kMillisecondsInSecond,
                 aDelay.count() % kMillisecondsInSecond *
                   kMicrosecondsInMillisecond };
  event_add(timer->handle, &delay);
  timers_.push_back(std::move(timer));
}

void
EventLoop::OnStopSignal(std::function<void()> aFunction)
{
  AddSignal(SIGTERM, aFunction);
  AddSignal(SIGINT, std::move(aFunction));
}

void
EventLoop::OnReloadSignal(std::function<void()> aFunction)
{
  AddSignal(SIGHUP, std::move(aFunction));
}

void
EventLoop::AddSignal(int aNumber, std::function<void()> aFunction)
{
  auto signal = std::make_unique<Signal>();
  signal->function = std::move(aFunction);
  signal->handle =
    evsignal_new(base_, aNumber, &LoopCallbacks::OnSignal, signal.get());
  event_add(signal->handle, nullptr);
  signals_.push_back(std::move(signal));
}

void
EventLoop::Run()
{
  event_base_loop(base_, EVLOOP_NO_EXIT_ON_EMPTY);
}

void
EventLoop::Stop()
{
  event_base_loopbreak(base_);
}

}
