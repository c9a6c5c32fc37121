#include "Tests/StandIns/StoreStandIn.h"

#include <algorithm>

namespace vanillaworks::standins {

namespace {
constexpr int kOk = 200;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kPreconditionFailed = 412;
constexpr int kUnavailable = 503;
constexpr const char* kOperatorsTable = "op";
}

StoreStandIn::StoreStandIn(event_base* aBase, const std::string& aAddress)
  : server_(aBase, aAddress, [this](ExchangePtr aExchange) {
    OnRequest(aExchange);
  })
{
}

std::string
StoreStandIn::QueryParameter(const std::string& aPath, const std::string& aName)
{
  auto query = aPath.substr(std::min(aPath.find('?'), aPath.size()));
  for (const auto* separator : { "?", "&" }) {
    auto position = query.find(separator + aName + "=");
    if (position == std::string::npos) {
      continue;
    }
    auto begin = position + aName.size() + 2;
    return query.substr(begin, query.find('&', begin) - begin);
  }
  return "";
}

void
StoreStandIn::OnRequest(const ExchangePtr& aExchange)
{
  auto path = aExchange->Path();
  if (path.starts_with("/control")) {
    mode_ = Json::parse(aExchange->Body()).at("mode");
    aExchange->Respond(kOk, "{}");
    return;
  }
  if (path.starts_with("/operator")) {
    OnOperatorWrite(aExchange);
    return;
  }
  if (mode_ == "silent") {
    return;
  }
  if (mode_ == "down") {
    aExchange->Respond(kUnavailable, "{}");
    return;
  }
  if (path.starts_with("/rows-tx")) {
    OnTransaction(aExchange);
  } else if (path.starts_with("/rows-get")) {
    OnRead(aExchange);
  } else if (path.starts_with("/rows-feed")) {
    OnFeed(aExchange);
  } else {
    aExchange->Respond(kNotFound, "{}");
  }
}

void
StoreStandIn::OnOperatorWrite(const ExchangePtr& aExchange)
{
  auto body = Json::parse(aExchange->Body());
  auto& row = rows_[{ kOperatorsTable, body.at("key") }];
  row.value = body.value("value", "");
  row.isDeleted = !body.contains("value");
  row.revision = ++revision_;
  aExchange->Respond(kOk, "{}");
  CompletePendingFeeds();
}

void
StoreStandIn::OnTransaction(const ExchangePtr& aExchange)
{
  auto body = Json::parse(aExchange->Body());
  for (const auto& expected : body.at("expectedRev")) {
    auto found = rows_.find({ expected.at("table"), expected.at("key") });
    std::uint64_t currentRevision =
      found == rows_.end() || found->second.isDeleted ? 0
                                                      : found->second.revision;
    if (currentRevision != expected.at("ver")) {
      aExchange->Respond(kPreconditionFailed, "{}");
      return;
    }
  }
  for (const auto* change : { "puts", "remove" }) {
    for (const auto& item : body.at(change)) {
      if (item.at("table") == kOperatorsTable) {
        aExchange->Respond(kForbidden, "{}");
        return;
      }
    }
  }
  ++revision_;
  for (const auto& put : body.at("puts")) {
    rows_[{ put.at("table"), put.at("key") }] = { put.at("value"),
                                                  revision_,
                                                  false };
  }
  for (const auto& removed : body.at("remove")) {
    rows_[{ removed.at("table"), removed.at("key") }] = { "", revision_, true };
  }
  aExchange->Respond(kOk, Json{ { "ver", revision_ }, { "nowMs", 1 } }.dump());
  CompletePendingFeeds();
}

nlohmann::json
StoreStandIn::SelectRows(const std::string& aTable,
                         std::uint64_t aAfterRevision,
                         bool aWithDeleted) const
{
  auto rows = Json::array();
  for (const auto& [key, row] : rows_) {
    bool isSelected = key.first == aTable && row.revision > aAfterRevision &&
                      (aWithDeleted || !row.isDeleted);
    if (!isSelected) {
      continue;
    }
    Json item{ { "table", aTable },
               { "part", "" },
               { "key", key.second },
               { "value", row.value },
               { "ver", row.revision } };
    if (row.isDeleted) {
      item["deleted"] = true;
    }
    rows.push_back(std::move(item));
  }
  return rows;
}

void
StoreStandIn::OnRead(const ExchangePtr& aExchange)
{
  auto rows = SelectRows(QueryParameter(aExchange->Path(), "table"), 0, false);
  aExchange->Respond(kOk,
                     Json{ { "rows", rows },
                           { "hasMore", false },
                           { "ver", revision_ },
                           { "nowMs", 1 } }
                       .dump());
}

void
StoreStandIn::OnFeed(const ExchangePtr& aExchange)
{
  if (mode_ == "forgetful") {
    aExchange->Respond(kGone, "{}");
    return;
  }
  auto path = aExchange->Path();
  auto id = nextFeedId_++;
  pendingFeeds_.push_back({ QueryParameter(path, "table"),
                            std::stoull(QueryParameter(path, "after")),
                            aExchange,
                            id });
  CompletePendingFeeds();
  auto timeout = Milliseconds(std::stoll(QueryParameter(path, "waitMs")));
  server_.RunAfter(timeout, [this, id] {
    auto found =
      std::find_if(pendingFeeds_.begin(),
                   pendingFeeds_.end(),
                   [id](const auto& aItem) { return aItem.id == id; });
    if (found == pendingFeeds_.end()) {
      return;
    }
    auto exchange = found->exchange;
    pendingFeeds_.erase(found);
    if (mode_ == "silent") {
      return;
    }
    exchange->Respond(
      kOk, Json{ { "rows", Json::array() }, { "ver", revision_ } }.dump());
  });
}

void
StoreStandIn::CompletePendingFeeds()
{
  if (mode_ == "silent") {
    return;
  }
  auto pendingFeeds = std::move(pendingFeeds_);
  pendingFeeds_.clear();
  for (auto& item : pendingFeeds) {
    auto rows = SelectRows(item.table, item.afterRevision, true);
    if (rows.empty()) {
      pendingFeeds_.push_back(std::move(item));
      continue;
    }
    item.exchange->Respond(
      kOk, Json{ { "rows", rows }, { "ver", revision_ } }.dump());
  }
}

}
