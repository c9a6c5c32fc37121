#include "LibPlatform/TableCodec.h"

#include <nlohmann/json.hpp>

namespace vanillaworks::platform {

namespace {
using Json = nlohmann::json;

std::string
Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::vector<TableRow>
DecodeRows(const Json& aRows)
{
  std::vector<TableRow> rows;
  for (const auto& row : aRows) {
    rows.push_back({ row.at("key").get<std::string>(),
                     row.at("version").get<std::uint64_t>(),
                     row.at("value").get<std::string>() });
  }
  return rows;
}
}

std::string
EncodeRead(const TableRead& aRead)
{
  return Dump({ { "keys", aRead.keys }, { "prefixes", aRead.prefixes } });
}

std::optional<TableReadResult>
DecodeReadResult(const std::string& aBody)
{
  try {
    return TableReadResult{ DecodeRows(Json::parse(aBody).at("rows")) };
  } catch (const Json::exception&) {
    return {};
  }
}

std::string
EncodeTransaction(const TableTransaction& aTransaction)
{
  auto writes = Json::array();
  for (const auto& write : aTransaction.writes) {
    Json item{ { "key", write.key } };
    if (write.expected) {
      item["expected"] = *write.expected;
    }
    if (write.value) {
      item["value"] = *write.value;
    }
    if (write.expires) {
      item["expires_ms"] = write.expires->time_since_epoch().count();
    }
    writes.push_back(std::move(item));
  }
  return Dump({ { "writes", std::move(writes) } });
}

std::optional<TableTransactionResult>
DecodeTransactionResult(const std::string& aBody)
{
  try {
    auto body = Json::parse(aBody);
    TableTransactionResult result;
    result.committed = body.at("committed").get<bool>();
    if (result.committed) {
      result.sequence = body.at("sequence").get<std::uint64_t>();
    } else {
      result.conflicts = DecodeRows(body.at("conflicts"));
    }
    return result;
  } catch (const Json::exception&) {
    return {};
  }
}

}
