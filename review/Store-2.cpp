#include "review/Store-2.h"

#include <chrono>

namespace vanillaworks::review {

namespace {
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kPreconditionFailed = 412;
constexpr std::size_t kMaxRows = 500;
constexpr const char* kOperatorTable = "op";

std::string
ToBase64(const std::string& aText)
{
  constexpr const char* kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string encoded;
  for (std::size_t i = 0; i < aText.size(); i += 3) {
    auto left = aText.size() - i;
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      auto byte = j < left ? static_cast<unsigned char>(aText[i + j]) : 0U;
      group = (group << 8U) | byte;
    }
    for (std::size_t j = 0; j < 4; ++j) {
      auto digit = (group >> (18U - 6U * static_cast<std::uint32_t>(j))) & 63U;
      encoded += j <= left ? kDigits[digit] : '=';
    }
  }
  return encoded;
}
}

Store::Store(const Address& aAddress)
  : server_(aAddress,
            [this](const HttpRequest& aRequest) { return OnRequest(aRequest); })
{
}

Store::~Store()
{
  std::scoped_lock lock(mutex_);
  isOver_ = true;
  changed_.notify_all();
}

void
Store::PutAsOperator(const std::string& aKey, const Json& aValue)
{
  std::scoped_lock lock(mutex_);
  rows_[{ kOperatorTable, aKey }] = { ToBase64(aValue.dump()),
                                      ++version_,
                                      false };
  changed_.notify_all();
}

std::optional<HttpResponse>
Store::OnRequest(const HttpRequest& aRequest)
{
  if (aRequest.path.starts_with("/rows-tx")) {
    auto body = Json::parse(aRequest.body, nullptr, false);
    return body.is_object() ? OnTransaction(body)
                            : HttpResponse{ kBadRequest, "{}" };
  }
  if (aRequest.path.starts_with("/rows-get")) {
    return OnRead(aRequest);
  }
  if (aRequest.path.starts_with("/rows-feed")) {
    return OnFeed(aRequest);
  }
  return HttpResponse{ kNotFound, "{}" };
}

Store::Json
Store::CommonFields() const
{
  return { { "ver", version_ }, { "nowMs", NowMs() } };
}

Store::Json
Store::ToJson(const Key& aKey, const Row& aRow) const
{
  Json row{ { "table", aKey.first },
            { "part", "" },
            { "key", aKey.second },
            { "value", aRow.value },
            { "ver", aRow.version } };
  if (aRow.isDeleted) {
    row["deleted"] = true;
  }
  return row;
}

HttpResponse
Store::OnTransaction(const Json& aBody)
{
  std::scoped_lock lock(mutex_);
  auto keyOf = [](const Json& aRow) {
    return Key(aRow.at("table"), aRow.at("key"));
  };
  for (const auto& expected : aBody.value("expectedRev", Json::array())) {
    auto found = rows_.find(keyOf(expected));
    bool exists = found != rows_.end() && !found->second.isDeleted;
    std::uint64_t version = exists ? found->second.version : 0;
    if (version != expected.at("ver")) {
      return { kPreconditionFailed, CommonFields().dump() };
    }
  }
  auto puts = aBody.value("puts", Json::array());
  auto removals = aBody.value("remove", Json::array());
  for (const auto* rows : { &puts, &removals }) {
    for (const auto& row : *rows) {
      if (row.at("table") == kOperatorTable) {
        return { kForbidden, "{}" };
      }
    }
  }
  ++version_;
  for (const auto& row : puts) {
    rows_[keyOf(row)] = { row.at("value"), version_, false };
  }
  for (const auto& row : removals) {
    rows_[keyOf(row)] = { "", version_, true };
  }
  changed_.notify_all();
  return { kOk, CommonFields().dump() };
}

HttpResponse
Store::OnRead(const HttpRequest& aRequest)
{
  std::scoped_lock lock(mutex_);
  auto table = aRequest.Query("table");
  auto from = aRequest.Query("from");
  auto to = aRequest.Query("to");
  auto limitText = aRequest.Query("limit");
  auto limit = limitText.empty() ? kMaxRows : std::stoul(limitText);
  auto rows = Json::array();
  bool hasMore = false;
  for (const auto& [key, row] : rows_) {
    bool isSelected = key.first == table && !row.isDeleted &&
                      key.second >= from && (to.empty() || key.second < to);
    if (!isSelected) {
      continue;
    }
    if (rows.size() >= limit) {
      hasMore = true;
      break;
    }
    rows.push_back(ToJson(key, row));
  }
  auto body = CommonFields();
  body["rows"] = rows;
  body["hasMore"] = hasMore;
  return { kOk, body.dump() };
}

HttpResponse
Store::OnFeed(const HttpRequest& aRequest)
{
  auto table = aRequest.Query("table");
  auto after = std::stoull(aRequest.Query("after"));
  auto wait = std::chrono::milliseconds(std::stoll(aRequest.Query("waitMs")));
  std::unique_lock lock(mutex_);
  std::map<std::uint64_t, Json> rows;
  auto select = [&] {
    for (const auto& [key, row] : rows_) {
      if (key.first == table && row.version > after) {
        rows[row.version] = ToJson(key, row);
      }
    }
    return isOver_ || !rows.empty();
  };
  changed_.wait_for(lock, wait, select);
  auto body = CommonFields();
  body["rows"] = Json::array();
  for (const auto& item : rows) {
    body["rows"].push_back(item.second);
  }
  return { kOk, body.dump() };
}

}
