#ifndef review_Store_h
#define review_Store_h

#include "review/Http.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace review {

/**
 * The platform's metadata store, as far as the programs use it: rows-tx,
 * rows-get and rows-feed. It loses nothing and answers at once.
 */
class Store
{
public:
  explicit Store(const Address& aAddress);

  bool Open() { return server_.Open(); }
  /** Writes a row of the operators' table. The return is the acknowledgement.
   */
  void WriteOperatorRow(const std::string& aKey, const std::string& aValue);

private:
  struct Row
  {
    /** Base64. */
    std::string value;
    std::uint64_t version = 0;
    bool isDeleted = false;
  };
  using Key = std::pair<std::string, std::string>;

  HttpReply OnRequest(const HttpRequest& aRequest);
  HttpReply OnTransaction(const HttpRequest& aRequest);
  HttpReply OnRead(const HttpRequest& aRequest);
  HttpReply OnFeed(const HttpRequest& aRequest);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<Key, Row> rows_;
  std::uint64_t version_ = 1;
  HttpServer server_;
};

}

#endif
