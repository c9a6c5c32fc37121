#ifndef Libraries_LibPlatform_TableCodec_h
#define Libraries_LibPlatform_TableCodec_h

#include "LibPlatform/TableRead.h"
#include "LibPlatform/TableTransaction.h"

#include <optional>
#include <string>

namespace vanillaworks::platform {

/**
 * Encoding and decoding of the table service's JSON bodies. Decoders return
 * nothing if the body is invalid. All functions are thread safe.
 */
std::string
EncodeRead(const TableRead& aRead);
std::optional<TableReadResult>
DecodeReadResult(const std::string& aBody);
std::string
EncodeTransaction(const TableTransaction& aTransaction);
std::optional<TableTransactionResult>
DecodeTransactionResult(const std::string& aBody);

}

#endif
