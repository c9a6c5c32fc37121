#ifndef Tests_StandIns_TableStandIn_h
#define Tests_StandIns_TableStandIn_h

#include "Tests/StandIns/StandInServer.h"

#include <cstdint>
#include <map>
#include <string>

namespace vanillaworks::standins {

/**
 * The platform's table service and object store in memory. "POST /control"
 * sets {"mode":"up"|"down"|"hang"|"lose_answers","delay_ms":N}; "GET /stats"
 * counts reads and writes.
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
    std::int64_t expires;
  };
  struct Reply
  {
    int status;
    std::string body;
  };

  void OnExchange(const std::shared_ptr<Exchange>& aExchange);
  Reply Answer(const Exchange& aExchange);
  Reply Read(const std::string& aBody);
  Reply Transact(const std::string& aBody);
  Reply Control(const std::string& aBody);
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
