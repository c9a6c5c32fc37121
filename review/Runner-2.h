#ifndef review_Runner_2_h
#define review_Runner_2_h

#include "review/Http-2.h"
#include "review/Record-2.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace vanillaworks::review {

/** What goes wrong at any of a deployment's runners. Guarded by its mutex. */
struct Trouble
{
  std::mutex mutex;
  /** So many starts get no answer. */
  int unansweredStarts = 0;
  /** These are still to be carried out. */
  std::vector<nlohmann::json> lateStarts;
  /** So many runs fail. */
  int failures = 0;
};

struct RunnerOptions
{
  /** Its machine; the same for all of its lives. */
  std::string machine;
  std::string id;
  std::string service;
  std::string zone;
  /** Where it accepts calls. */
  Address address;
  /** Where it reports. */
  Address agent;
  std::int64_t cpu = 64'000;
  /**
   * The first calls of /hold in this number get no answer and are carried out
   * late.
   */
  int lateHolds = 0;
  /** Not null. */
  std::shared_ptr<Trouble> trouble;
  /** When this life carries out late starts, after its own start, if at all. */
  std::optional<std::int64_t> carriesOutAfterMs;
};

/**
 * One life of a runner, as the users' pages describe it. The spec of a task is
 * its work in milliseconds. Thread safe.
 */
class Runner
{
public:
  using Json = nlohmann::json;

  Runner(RunnerOptions aOptions, Record& aRecord);
  /** Ends the life, with all that runs in it. */
  ~Runner();
  Runner(const Runner&) = delete;
  Runner& operator=(const Runner&) = delete;

  bool IsListening() const { return server_.IsListening(); }
  /** Reports that it drains. Returns whether that was acknowledged. */
  bool Drain();
  /** Says that it leaves. Returns whether that was acknowledged. */
  bool Leave();
  /** Sends no more reports. */
  void StopReporting() { isReporting_ = false; }
  /** What it would report next. */
  Json NextReport();
  /** Number of tasks that run now. */
  std::size_t CountRunning();
  /** Whether a start ever brought it over its capacity. */
  bool WentOver() const { return wentOver_; }

private:
  struct Task
  {
    std::size_t record = 0;
    std::int64_t startedMs = 0;
    std::int64_t workMs = 0;
    bool fails = false;
  };
  /** Name and number. */
  using Key = std::pair<std::string, std::uint32_t>;
  struct End
  {
    std::uint64_t number = 0;
    Key key;
    std::string how;
  };

  std::optional<HttpResponse> OnRequest(const HttpRequest& aRequest);
  HttpResponse OnStart(const Json& aBody);
  HttpResponse OnStop(const Json& aBody);
  HttpResponse OnHold(const Json& aBody);
  HttpResponse Refuse(const std::string& aReason) const;
  bool AcceptToken(const Json& aBody);
  void ExtendLease(const Json& aBody);
  void EndTask(const Key& aKey, const std::string& aHow);
  void Advance();
  bool Report();
  void Work();
  bool WillFail();
  /** Keeps the start for later if it is to get no answer. */
  bool LeavesUnanswered(const Json& aBody);
  void CarryOutLateStarts();
  std::int64_t ClockMs() const { return NowMs() - bornAtMs_ + 1; }
  Json CommonFields() const;

  RunnerOptions options_;
  Record& record_;
  std::int64_t bornAtMs_;
  /** Unix milliseconds. */
  std::int64_t born_;
  std::mutex mutex_;
  std::condition_variable ended_;
  std::string state_ = "ready";
  std::atomic<std::uint64_t> sequence_{ 0 };
  std::uint64_t token_ = 0;
  std::int64_t leaseUntilMs_ = 0;
  std::uint64_t ends_ = 0;
  std::map<Key, Task> running_;
  std::vector<End> finished_;
  std::map<std::string, std::uint32_t> lastNumber_;
  std::atomic<bool> wentOver_{ false };
  std::atomic<int> lateHolds_;
  std::atomic<bool> isReporting_{ true };
  std::atomic<bool> isOver_{ false };
  HttpServer server_;
  std::thread worker_;
  std::thread reporter_;
};

}

#endif
