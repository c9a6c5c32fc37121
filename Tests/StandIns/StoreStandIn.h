#ifndef Tests_StandIns_StoreStandIn_h
#define Tests_StandIns_StoreStandIn_h

#include "Tests/StandIns/StandInServer.h"

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace vanillaworks::standins {

/**
 * The part of the platform's table service that the programs use, in memory:
 * rows-tx, rows-get and rows-feed. POST /operator {"key","value"} writes a row
 * of the operators' table, and without "value" deletes it. POST /control
 * {"mode"} sets the mode:
 * - "up" is normal operation.
 * - "down" responds 503 to new requests.
 * - "silent" ignores new requests and reports no changes to pending ones.
 * - "forgetful" responds 410 to rows-feed, as if the history was discarded.
 */
class StoreStandIn
{
public:
  StoreStandIn(event_base* aBase, const std::string& aAddress);

  bool IsListening() const { return server_.IsListening(); }

private:
  using Json = nlohmann::json;
  using ExchangePtr = std::shared_ptr<Exchange>;
  struct Row
  {
    std::string value;
    std::uint64_t revision = 0;
    bool isDeleted = false;
  };
  /** A rows-feed request that waits for a change of its table. */
  struct PendingFeed
  {
    std::string table;
    std::uint64_t afterRevision;
    ExchangePtr exchange;
    std::uint64_t id;
  };
  using Key = std::pair<std::string, std::string>;

  void OnRequest(const ExchangePtr& aExchange);
  void OnTransaction(const ExchangePtr& aExchange);
  void OnRead(const ExchangePtr& aExchange);
  void OnFeed(const ExchangePtr& aExchange);
  void OnOperatorWrite(const ExchangePtr& aExchange);
  /** Responds to the pending feeds whose tables have changed. */
  void CompletePendingFeeds();
  Json SelectRows(const std::string& aTable,
                  std::uint64_t aAfterRevision,
                  bool aWithDeleted) const;
  static std::string QueryParameter(const std::string& aPath,
                                    const std::string& aName);

  StandInServer server_;
  std::string mode_ = "up";
  std::map<Key, Row> rows_;
  std::uint64_t revision_ = 1;
  std::vector<PendingFeed> pendingFeeds_;
  std::uint64_t nextFeedId_ = 1;
};

}

#endif
