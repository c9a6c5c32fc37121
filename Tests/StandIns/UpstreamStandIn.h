#ifndef Tests_StandIns_UpstreamStandIn_h
#define Tests_StandIns_UpstreamStandIn_h

#include "Tests/StandIns/StandInServer.h"

#include <cstdint>
#include <string>
#include <vector>

namespace vanillaworks::standins {

/**
 * An upstream that starts every task at once and records each start. The
 * payload of a task is its run time in milliseconds at speed 1.
 * "POST /control" sets {"speed":X,"fail":true|false}, and "GET /records" lists
 * the records.
 */
class UpstreamStandIn
{
public:
  UpstreamStandIn(event_base* aBase,
                  const std::string& aAddress,
                  double aSpeed);
  bool IsListening() const { return server_.IsListening(); }

private:
  struct Record
  {
    std::string submission;
    std::uint32_t task;
    /** Monotonic microseconds. */
    std::int64_t startedAtUs;
    /** Monotonic microseconds; 0 while the task runs. */
    std::int64_t endedAtUs;
  };

  void OnRequest(const std::shared_ptr<Exchange>& aExchange);
  void OnRun(const std::shared_ptr<Exchange>& aExchange);

  std::vector<Record> records_;
  double speed_;
  bool isFailing_ = false;
  StandInServer server_;
};

}

#endif
