#ifndef review_Platform_3_h
#define review_Platform_3_h

#include "Net-3.h"

#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>

namespace review {

using Json = nlohmann::json;

/**
 * The platform's metadata store: rows-tx, rows-get and rows-feed of tables with
 * an empty part. Thread safe.
 */
class Store3
{
public:
  explicit Store3(const std::string& aAddress);
  bool IsListening() const { return server_.IsListening(); }

  /** Writes a row as the operator. aText is the row's value, not encoded. */
  void Put(const std::string& aTable,
           const std::string& aKey,
           const std::string& aText);

private:
  struct Row
  {
    std::string value;
    std::uint64_t ver = 0;
    bool isDeleted = false;
  };

  HttpReply Handle(const HttpMessage& aRequest);
  HttpReply Transact(const Json& aBody);
  HttpReply Feed(const std::string& aTable,
                 std::uint64_t aAfter,
                 std::int64_t aWaitMs);
  Json Select(const std::string& aTable, std::uint64_t aAfter, bool aAll) const;

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::pair<std::string, std::string>, Row> rows_;
  std::uint64_t ver_ = 1;
  HttpServer server_;
};

/** What a runner did for one start, in milliseconds of NowMs(). */
struct RunRecord3
{
  std::string runner;
  std::string task;
  std::uint64_t run = 0;
  std::int64_t startedAt = 0;
  /** 0 while it runs. */
  std::int64_t endedAt = 0;
  std::string how;
};

/**
 * A runner that starts what it is told, with leases, fencing tokens and numbers
 * of runs as the pages say. A task runs for as many milliseconds as its spec
 * says. Thread safe.
 */
class Runner3
{
public:
  Runner3(std::string aId,
          std::string aAddress,
          std::string aAgent,
          std::string aZone);
  bool IsListening() const { return server_.IsListening(); }

  std::vector<RunRecord3> Records();

  /**
   * The next start of a task of this job gets no answer; it is carried out
   * aDelayMs later. An empty job ends that.
   */
  void DelayStartOf(const std::string& aJob, std::int64_t aDelayMs);
  bool HasDelayedStart();
  /** The process ends at once, with all that runs. */
  void Crash();
  /** It starts again under its id and knows nothing of before. */
  void Restart();

private:
  struct Active
  {
    std::uint64_t run = 0;
    std::int64_t lengthMs = 0;
    std::size_t record = 0;
  };
  struct End
  {
    std::uint64_t number;
    std::string task;
    std::uint64_t run;
    std::string how;
  };

  HttpReply Handle(const HttpMessage& aRequest);
  /** Whether the start gets no answer; it is carried out later, then. */
  bool IsDelayed(const Json& aBody);
  HttpReply Start(const Json& aBody);
  HttpReply Stop(const Json& aBody);
  HttpReply Hold(const Json& aBody);
  HttpReply Refuse(const std::string& aReason) const;
  /** Takes the token of a call over; false if it is too low. */
  bool TakeToken(const Json& aBody);
  void ExtendLease(const Json& aBody);
  void Finish(const std::string& aTask, const std::string& aHow);
  /** Ends what is done or has no lease any more. */
  void Advance();
  void AdvanceForever();
  void ReportForever();
  Json Report(std::uint64_t aSequence) const;
  std::int64_t Clock() const { return NowMs() - bornAt_; }
  Json Common() const;

  std::string id_;
  std::string address_;
  std::string agent_;
  std::string zone_;
  std::int64_t bornAt_;
  std::int64_t born_;
  std::mutex mutex_;
  std::condition_variable ended_;
  bool isDown_ = false;
  /** The number of this life. */
  int life_ = 1;
  std::string delayedJob_;
  std::int64_t delayMs_ = 0;
  bool hasDelayedStart_ = false;
  std::uint64_t token_ = 0;
  std::int64_t leaseEnd_ = 0;
  std::map<std::string, Active> active_;
  /** The highest run of each task that was stopped or has ended. */
  std::map<std::string, std::uint64_t> barred_;
  std::vector<End> finished_;
  std::uint64_t lastEnd_ = 0;
  std::vector<RunRecord3> records_;
  HttpServer server_;
};

}

#endif
