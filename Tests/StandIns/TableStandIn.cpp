#include "Tests/StandIns/TableStandIn.h"

#include <nlohmann/json.hpp>

namespace vanillaworks::standins {

namespace {
using Json = nlohmann::json;
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;
const std::string kObjectsPath = "/objects/";
}

TableStandIn::TableStandIn(event_base* aBase, const std::string& aAddress)
  : server_(aBase, aAddress, [this](std::shared_ptr<Exchange> aExchange) {
    OnRequest(aExchange);
  })
{
}

void
TableStandIn::OnRequest(const std::shared_ptr<Exchange>& aExchange)
{
  auto path = aExchange->Path();
  if (path == "/control") {
    auto response = Control(aExchange->Body());
    return aExchange->Respond(response.status, response.body);
  }
  if (path == "/stats") {
    Json stats{ { "reads", reads_ },
                { "writes", writes_ },
                { "rows", rows_.size() } };
    return aExchange->Respond(kOk, stats.dump());
  }
  if (mode_ == "down") {
    return aExchange->Respond(kUnavailable, "");
  }
  if (mode_ == "hang") {
    return;
  }
  auto response = HandleRequest(*aExchange);
  if (mode_ == "lose_answers" && path != "/read") {
    return aExchange->CloseConnection();
  }
  if (delay_.count() == 0) {
    return aExchange->Respond(response.status, response.body);
  }
  server_.RunAfter(delay_, [aExchange, response] {
    aExchange->Respond(response.status, response.body);
  });
}

TableStandIn::Response
TableStandIn::HandleRequest(const Exchange& aExchange)
{
  auto path = aExchange.Path();
  if (path.starts_with(kObjectsPath)) {
    auto name = path.substr(kObjectsPath.size());
    if (!aExchange.IsGet()) {
      ++writes_;
      objects_[name] = aExchange.Body();
      return { kOk, "" };
    }
    ++reads_;
    auto found = objects_.find(name);
    return found == objects_.end() ? Response{ kNotFound, "" }
                                   : Response{ kOk, found->second };
  }
  try {
    if (path == "/read") {
      return Read(aExchange.Body());
    }
    if (path == "/transact") {
      return Transact(aExchange.Body());
    }
  } catch (const Json::exception& error) {
    return { kBadRequest, error.what() };
  }
  return { kNotFound, "" };
}

const TableStandIn::Row*
TableStandIn::Find(const std::string& aKey) const
{
  auto found = rows_.find(aKey);
  bool isLive =
    found != rows_.end() &&
    (found->second.expiresAtMs == 0 ||
     found->second.expiresAtMs > WallNow().time_since_epoch().count());
  return isLive ? &found->second : nullptr;
}

TableStandIn::Response
TableStandIn::Read(const std::string& aBody)
{
  ++reads_;
  auto body = Json::parse(aBody);
  auto rows = Json::array();
  auto add = [this, &rows](const std::string& aKey) {
    if (const auto* row = Find(aKey)) {
      rows.push_back({ { "key", aKey },
                       { "version", row->version },
                       { "value", row->value } });
    }
  };
  for (const auto& key : body.at("keys")) {
    add(key.get<std::string>());
  }
  for (const auto& item : body.at("prefixes")) {
    auto prefix = item.get<std::string>();
    for (auto row = rows_.lower_bound(prefix);
         row != rows_.end() && row->first.starts_with(prefix);
         ++row) {
      add(row->first);
    }
  }
  return { kOk, Json{ { "rows", std::move(rows) } }.dump() };
}

TableStandIn::Response
TableStandIn::Transact(const std::string& aBody)
{
  ++writes_;
  auto body = Json::parse(aBody);
  auto conflicts = Json::array();
  for (const auto& write : body.at("writes")) {
    auto key = write.at("key").get<std::string>();
    const auto* row = Find(key);
    auto version = row ? row->version : 0;
    if (write.contains("expected") &&
        write["expected"].get<std::uint64_t>() != version) {
      conflicts.push_back({ { "key", key },
                            { "version", version },
                            { "value", row ? row->value : "" } });
    }
  }
  if (!conflicts.empty()) {
    return { kConflict,
             Json{ { "committed", false },
                   { "conflicts", std::move(conflicts) } }
               .dump() };
  }
  ++sequence_;
  for (const auto& write : body.at("writes")) {
    auto key = write.at("key").get<std::string>();
    if (!write.contains("value")) {
      rows_.erase(key);
      continue;
    }
    rows_[key] = { write["value"].get<std::string>(),
                   sequence_,
                   write.value("expires_ms", std::int64_t{ 0 }) };
  }
  return { kOk,
           Json{ { "committed", true }, { "sequence", sequence_ } }.dump() };
}

TableStandIn::Response
TableStandIn::Control(const std::string& aBody)
{
  auto body = Json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return { kBadRequest, "" };
  }
  mode_ = body.value("mode", mode_);
  delay_ = Milliseconds(body.value(
    "delay_ms", std::chrono::duration_cast<Milliseconds>(delay_).count()));
  return { kOk, "" };
}

}
