#ifndef review_Store_2_h
#define review_Store_2_h

#include "review/Http-2.h"

#include <condition_variable>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace vanillaworks::review {

/**
 * The platform's store, as far as the programs use it: rows-tx, rows-get and
 * rows-feed over rows of one part. Thread safe.
 */
class Store
{
public:
  using Json = nlohmann::json;

  explicit Store(const Address& aAddress);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  bool IsListening() const { return server_.IsListening(); }
  /** Writes a row of the table "op" as the operator. */
  void PutAsOperator(const std::string& aKey, const Json& aValue);

private:
  struct Row
  {
    /** In base64. */
    std::string value;
    std::uint64_t version = 0;
    bool isDeleted = false;
  };
  using Key = std::pair<std::string, std::string>;

  std::optional<HttpResponse> OnRequest(const HttpRequest& aRequest);
  HttpResponse OnTransaction(const Json& aBody);
  HttpResponse OnRead(const HttpRequest& aRequest);
  HttpResponse OnFeed(const HttpRequest& aRequest);
  Json ToJson(const Key& aKey, const Row& aRow) const;
  Json CommonFields() const;

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<Key, Row> rows_;
  std::uint64_t version_ = 0;
  bool isOver_ = false;
  HttpServer server_;
};

}

#endif
