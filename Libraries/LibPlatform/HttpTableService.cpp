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
                                   RateLimit aReads,
                                   RateLimit aWrites)
  : url_(std::move(aUrl))
  , client_(aTimeout)
  , reads_(aReads)
  , writes_(aWrites)
{
}

Result<TableReadResult, TableError>
HttpTableService::Read(const TableRead& aRead)
{
  std::this_thread::sleep_for(reads_.Reserve(MonotonicNow()));
  auto reply = VW_TRY(client_.Post(url_ + "/read", EncodeRead(aRead)));
  if (reply.status != kOk) {
    return Failure{ TableError::Unavailable };
  }
  auto result = DecodeReadResult(reply.body);
  if (!result) {
    return Failure{ TableError::AnswerLost };
  }
  return std::move(*result);
}

Result<TableTransactionResult, TableError>
HttpTableService::Transact(const TableTransaction& aTransaction)
{
  std::this_thread::sleep_for(writes_.Reserve(MonotonicNow()));
  auto reply =
    VW_TRY(client_.Post(url_ + "/transact", EncodeTransaction(aTransaction)));
  if (reply.status == kUnavailable) {
    return Failure{ TableError::Unavailable };
  }
  if (reply.status != kOk && reply.status != kConflict) {
    return Failure{ TableError::AnswerLost };
  }
  auto result = DecodeTransactionResult(reply.body);
  if (!result) {
    return Failure{ TableError::AnswerLost };
  }
  return std::move(*result);
}

}
