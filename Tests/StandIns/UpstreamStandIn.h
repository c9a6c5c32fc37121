#ifndef Tests_StandIns_UpstreamStandIn_h
#define Tests_StandIns_UpstreamStandIn_h

#include "Tests/StandIns/StandInServer.h"

#include <cstdint>
#include <string>
#include <vector>

namespace vanillaworks::standins {

/**
 * An upstream that starts whatever it is given and notes each start. A
 * task's payload is its time in milliseconds at speed 1; "POST /control" sets
 * {"speed":X,"fail":true|false}, and "GET /records" lists what started.
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
    /** Monotonic microseconds; 0 while it runs. */
    std::int64_t startedAt;
    std::int64_t endedAt;
  };

  void OnExchange(const std::shared_ptr<Exchange>& aExchange);
  void Run(const std::shared_ptr<Exchange>& aExchange);

  std::vector<Record> records_;
  double speed_;
  bool fail_ = false;
  StandInServer server_;
};

}

#endif
