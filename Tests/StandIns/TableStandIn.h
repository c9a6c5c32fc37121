#ifndef Tests_StandIns_TableStandIn_h
#define Tests_StandIns_TableStandIn_h

#include "Tests/StandIns/StandInServer.h"

#include <cstdint>
#include <map>
#include <string>

namespace vanillaworks::standins {

/**
 * The platform's table service and object store in memory. "POST /control"
 * sets {"mode":"up"|"down"|"hang"|"lose_answers","delay_ms":N}:
 * - up is normal operation.
 * - down responds 503 to requests.
 * - hang neither handles requests nor sends responses.
 * - lose_answers handles requests, but closes the connections of all but
 *   "/read" without a response.
 * Responses to handled requests are delayed by delay_ms. "GET /stats" returns
 * the numbers of reads, writes and rows.
 */
class TableStandIn
{
public:
  TableStandIn(event_base* aBase, const std::string& aAddress);
  bool IsListening() const { return server_.IsListening(); }

private:
  struct Row
  {
    std::string value;
    std::uint64_t version;
    /** Unix milliseconds; 0 if the row does not expire. */
    std::int64_t expiresAtMs;
  };
  struct Response
  {
    int status;
    std::string body;
  };

  void OnRequest(const std::shared_ptr<Exchange>& aExchange);
  Response HandleRequest(const Exchange& aExchange);
  Response Read(const std::string& aBody);
  Response Transact(const std::string& aBody);
  Response Control(const std::string& aBody);
  const Row* Find(const std::string& aKey) const;

  std::map<std::string, Row> rows_;
  std::map<std::string, std::string> objects_;
  std::uint64_t sequence_ = 0;
  std::uint64_t reads_ = 0;
  std::uint64_t writes_ = 0;
  std::string mode_ = "up";
  Microseconds delay_{ 0 };
  StandInServer server_;
};

}

#endif
