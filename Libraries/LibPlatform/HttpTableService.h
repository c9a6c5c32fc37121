#ifndef Libraries_LibPlatform_HttpTableService_h
#define Libraries_LibPlatform_HttpTableService_h

#include "LibPlatform/HttpClient.h"
#include "LibPlatform/RateLimit.h"
#include "LibPlatform/TableService.h"

#include <string>

namespace vanillaworks::platform {

/** The table service over HTTP, within this entry's part of its budget. */
class HttpTableService final : public TableService
{
public:
  /** aUrl: "http://host:port", without a path. */
  HttpTableService(std::string aUrl,
                   Milliseconds aTimeout,
                   RateLimit aReads,
                   RateLimit aWrites);

  Result<TableReadResult, TableError> Read(const TableRead& aRead) override;
  Result<TableTransactionResult, TableError> Transact(
    const TableTransaction& aTransaction) override;

private:
  std::string url_;
  HttpClient client_;
  RateLimit reads_;
  RateLimit writes_;
};

}

#endif
