#include "LibPlatform/HttpTableService.h"

#include "LibPlatform/TableCodec.h"

#include <thread>

namespace vanillaworks::platform {

namespace {
constexpr long kOk = 200;
constexpr long kConflict = 409;
constexpr long kUnavailable = 503;
}

HttpTableService::HttpTableService(std::string aUrl,
                                   Milliseconds aTimeout,
                                   RateLimiter aReadLimiter,
                                   RateLimiter aWriteLimiter)
  : url_(std::move(aUrl))
  , client_(aTimeout)
  , readLimiter_(aReadLimiter)
  , writeLimiter_(aWriteLimiter)
{
}

Result<TableReadResult, TableError>
HttpTableService::Read(const TableRead& aRead)
{
  std::this_thread::sleep_for(readLimiter_.Reserve(MonotonicNow()));
  auto response = VW_TRY(client_.Post(url_ + "/read", EncodeRead(aRead)));
  if (response.status != kOk) {
    return Failure{ TableError::Unavailable };
  }
  auto result = DecodeReadResult(response.body);
  if (!result) {
    return Failure{ TableError::ResponseLost };
  }
  return std::move(*result);
}

Result<TableTransactionResult, TableError>
HttpTableService::Transact(const TableTransaction& aTransaction)
{
  std::this_thread::sleep_for(writeLimiter_.Reserve(MonotonicNow()));
  auto response =
    VW_TRY(client_.Post(url_ + "/transact", EncodeTransaction(aTransaction)));
  if (response.status == kUnavailable) {
    return Failure{ TableError::Unavailable };
  }
  if (response.status != kOk && response.status != kConflict) {
    return Failure{ TableError::ResponseLost };
  }
  auto result = DecodeTransactionResult(response.body);
  if (!result) {
    return Failure{ TableError::ResponseLost };
  }
  return std::move(*result);
}

}
