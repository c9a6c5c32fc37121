#include "review/Store.h"

#include "review/Record.h"

#include <nlohmann/json.hpp>

namespace review {

namespace {
using Json = nlohmann::json;

constexpr std::size_t kMaxRows = 500;

std::string
EncodeBase64(const std::string& aText)
{
  constexpr const char* kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string encoded;
  for (std::size_t i = 0; i < aText.size(); i += 3) {
    std::uint32_t block = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      auto byte = i + j < aText.size()
                    ? static_cast<unsigned char>(aText[i + j])
                    : static_cast<unsigned char>(0);
      block = (block << 8) | byte;
    }
    for (std::size_t j = 0; j < 4; ++j) {
      bool isPadding = i + j > aText.size();
      encoded += isPadding ? '=' : kDigits[(block >> (18 - 6 * j)) & 63];
    }
  }
  return encoded;
}

Json
ToJson(const std::string& aTable,
       const std::string& aKey,
       const std::string& aValue,
       std::uint64_t aVersion,
       bool aIsDeleted)
{
  Json row{ { "table", aTable },
            { "part", "" },
            { "key", aKey },
            { "value", aValue },
            { "ver", aVersion } };
  if (aIsDeleted) {
    row["deleted"] = true;
  }
  return row;
}
}

Store::Store(const Address& aAddress)
  : server_(aAddress,
            [this](const HttpRequest& aRequest) { return OnRequest(aRequest); })
{
}

void
Store::WriteOperatorRow(const std::string& aKey, const std::string& aValue)
{
  std::scoped_lock lock(mutex_);
  rows_[{ "op", aKey }] = { EncodeBase64(aValue), ++version_, false };
  changed_.notify_all();
}

HttpReply
Store::OnRequest(const HttpRequest& aRequest)
{
  if (aRequest.path == "/rows-tx") {
    return OnTransaction(aRequest);
  }
  if (aRequest.path == "/rows-get") {
    return OnRead(aRequest);
  }
  if (aRequest.path == "/rows-feed") {
    return OnFeed(aRequest);
  }
  return { 404, "{}" };
}

HttpReply
Store::OnTransaction(const HttpRequest& aRequest)
{
  auto body = Json::parse(aRequest.body);
  std::scoped_lock lock(mutex_);
  for (const auto& expected : body.at("expectedRev")) {
    const auto& row = rows_[{ expected.at("table"), expected.at("key") }];
    if ((row.isDeleted ? 0 : row.version) != expected.at("ver")) {
      return { 412, R"({"rows":[]})" };
    }
  }
  ++version_;
  for (const auto& put : body.at("puts")) {
    rows_[{ put.at("table"), put.at("key") }] = { put.at("value"),
                                                  version_,
                                                  false };
  }
  for (const auto& removed : body.at("remove")) {
    rows_[{ removed.at("table"), removed.at("key") }] = { "", version_, true };
  }
  changed_.notify_all();
  return { 200, Json{ { "ver", version_ }, { "nowMs", NowMs() } }.dump() };
}

HttpReply
Store::OnRead(const HttpRequest& aRequest)
{
  auto table = aRequest.query.at("table");
  auto query = aRequest.query;
  auto from = query["from"];
  auto limit = query.contains("limit") ? std::stoul(query["limit"]) : kMaxRows;
  std::scoped_lock lock(mutex_);
  auto rows = Json::array();
  bool hasMore = false;
  for (const auto& [key, row] : rows_) {
    if (key.first != table || row.isDeleted || key.second < from) {
      continue;
    }
    if (rows.size() == limit) {
      hasMore = true;
      break;
    }
    rows.push_back(ToJson(table, key.second, row.value, row.version, false));
  }
  return { 200,
           Json{ { "rows", rows },
                 { "hasMore", hasMore },
                 { "ver", version_ },
                 { "nowMs", NowMs() } }
             .dump() };
}

HttpReply
Store::OnFeed(const HttpRequest& aRequest)
{
  auto table = aRequest.query.at("table");
  auto after = std::stoull(aRequest.query.at("after"));
  auto waitMs = std::stoll(aRequest.query.at("waitMs"));
  std::unique_lock lock(mutex_);
  auto rows = Json::array();
  auto selectRows = [&] {
    rows = Json::array();
    for (const auto& [key, row] : rows_) {
      if (key.first == table && row.version > after) {
        rows.push_back(
          ToJson(table, key.second, row.value, row.version, row.isDeleted));
      }
    }
    return !rows.empty();
  };
  changed_.wait_for(lock, Milliseconds(waitMs), selectRows);
  return {
    200,
    Json{ { "rows", rows }, { "ver", version_ }, { "nowMs", NowMs() } }.dump()
  };
}

}
