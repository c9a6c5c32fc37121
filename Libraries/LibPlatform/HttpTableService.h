#ifndef Libraries_LibPlatform_HttpTableService_h
#define Libraries_LibPlatform_HttpTableService_h

#include "LibPlatform/HttpClient.h"
#include "LibPlatform/RateLimiter.h"
#include "LibPlatform/TableService.h"

#include <string>

namespace vanillaworks::platform {

/**
 * Table service client over HTTP. Each call sleeps as long as this entry's
 * share of the request budget demands.
 */
class HttpTableService final : public TableService
{
public:
  /** aUrl: "http://host:port", without a path. */
  HttpTableService(std::string aUrl,
                   Milliseconds aTimeout,
                   RateLimiter aReadLimiter,
                   RateLimiter aWriteLimiter);

  Result<TableReadResult, TableError> Read(const TableRead& aRead) override;
  Result<TableTransactionResult, TableError> Transact(
    const TableTransaction& aTransaction) override;

private:
  std::string url_;
  HttpClient client_;
  RateLimiter readLimiter_;
  RateLimiter writeLimiter_;
};

}

#endif
