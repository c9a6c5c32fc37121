#include "LibPlatform/HttpObjectStore.h"

namespace vanillaworks::platform {

namespace {
constexpr long kOk = 200;
}

HttpObjectStore::HttpObjectStore(std::string aUrl, Milliseconds aTimeout)
  : url_(std::move(aUrl))
  , client_(aTimeout)
{
}

Result<Success, TableError>
HttpObjectStore::Put(const std::string& aName, const std::string& aBytes)
{
  auto response = VW_TRY(client_.Put(url_ + "/objects/" + aName, aBytes));
  if (response.status != kOk) {
    return Failure{ TableError::Unavailable };
  }
  return Success{};
}

Result<std::string, TableError>
HttpObjectStore::Get(const std::string& aName)
{
  auto response = VW_TRY(client_.Get(url_ + "/objects/" + aName));
  if (response.status != kOk) {
    return Failure{ TableError::Unavailable };
  }
  return std::move(response.body);
}

}
