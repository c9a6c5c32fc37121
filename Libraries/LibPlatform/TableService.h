#ifndef Libraries_LibPlatform_TableService_h
#define Libraries_LibPlatform_TableService_h

#include "LibCore/Result.h"
#include "LibPlatform/TableError.h"
#include "LibPlatform/TableRead.h"
#include "LibPlatform/TableTransaction.h"

namespace vanillaworks::platform {

/**
 * The platform's transactional table. Calls block. Not thread safe: one thread
 * uses an instance.
 */
class TableService
{
public:
  virtual ~TableService() = default;

  virtual Result<TableReadResult, TableError> Read(const TableRead& aRead) = 0;
  virtual Result<TableTransactionResult, TableError> Transact(
    const TableTransaction& aTransaction) = 0;
};

}

#endif
