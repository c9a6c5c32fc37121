#ifndef Tests_LibPlatform_InMemoryTable_h
#define Tests_LibPlatform_InMemoryTable_h

#include "LibPlatform/ObjectStore.h"
#include "LibPlatform/TableService.h"

#include <functional>
#include <map>
#include <string>

namespace vanillaworks::test {

/** Fault to inject into a call. */
enum class Fault
{
  None,
  Unavailable,
  /** The call has no effect and the caller can't tell. */
  RequestLost,
  /** The call takes effect and the caller can't tell. */
  ResponseLost
};

/**
 * In-memory table with fault injection. It runs one transaction at a time.
 */
class InMemoryTable final : public platform::TableService
{
public:
  std::function<Fault()> nextFault = [] { return Fault::None; };
  std::map<std::string, platform::TableRow> rows;
  std::uint64_t sequence = 0;

  Result<platform::TableReadResult, platform::TableError> Read(
    const platform::TableRead& aRead) override
  {
    auto fault = nextFault();
    if (fault != Fault::None) {
      return Failure{ ErrorOf(fault) };
    }
    platform::TableReadResult result;
    for (const auto& [key, row] : rows) {
      bool isRequested = false;
      for (const auto& wanted : aRead.keys) {
        isRequested = isRequested || wanted == key;
      }
      for (const auto& prefix : aRead.prefixes) {
        isRequested = isRequested || key.starts_with(prefix);
      }
      if (isRequested) {
        result.rows.push_back(row);
      }
    }
    return result;
  }

  Result<platform::TableTransactionResult, platform::TableError> Transact(
    const platform::TableTransaction& aTransaction) override
  {
    auto fault = nextFault();
    if (fault == Fault::Unavailable || fault == Fault::RequestLost) {
      return Failure{ ErrorOf(fault) };
    }
    platform::TableTransactionResult result;
    for (const auto& write : aTransaction.writes) {
      auto found = rows.find(write.key);
      auto version = found == rows.end() ? 0 : found->second.version;
      if (write.expected && *write.expected != version) {
        result.conflicts.push_back(
          { write.key,
            version,
            found == rows.end() ? std::string() : found->second.value });
      }
    }
    if (result.conflicts.empty()) {
      ++sequence;
      for (const auto& write : aTransaction.writes) {
        if (write.value) {
          rows[write.key] = { write.key, sequence, *write.value };
        } else {
          rows.erase(write.key);
        }
      }
      result.committed = true;
      result.sequence = sequence;
    }
    if (fault == Fault::ResponseLost) {
      return Failure{ platform::TableError::ResponseLost };
    }
    return result;
  }

private:
  static platform::TableError ErrorOf(Fault aFault)
  {
    return aFault == Fault::Unavailable ? platform::TableError::Unavailable
                                        : platform::TableError::ResponseLost;
  }
};

class InMemoryObjectStore final : public platform::ObjectStore
{
public:
  std::map<std::string, std::string> objects;

  Result<Success, platform::TableError> Put(const std::string& aName,
                                            const std::string& aBytes) override
  {
    objects[aName] = aBytes;
    return Success{};
  }
  Result<std::string, platform::TableError> Get(
    const std::string& aName) override
  {
    return objects[aName];
  }
};

}

#endif
