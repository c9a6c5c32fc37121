#ifndef Libraries_LibPlatform_OperationBatcher_h
#define Libraries_LibPlatform_OperationBatcher_h

#include "LibPlatform/ClaimRow.h"
#include "LibPlatform/ObjectStore.h"
#include "LibPlatform/TableOperation.h"
#include "LibPlatform/TableService.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace vanillaworks::platform {

struct OperationBatcherLimits
{
  /** How long a claim's row is kept after the submission's deadline. */
  Milliseconds claimRetention{ 600'000 };
  /** Larger answers are stored in the object store instead of the row. */
  std::size_t maxInlineAnswerBytes = std::size_t{ 16 } * 1024;
  std::size_t maxOperationsPerTransaction = 256;
};

enum class BatchResult : std::uint8_t
{
  /** Every operation was completed or waits for the next round. */
  Progress,
  /** The table or the object store failed; incomplete operations are kept. */
  TableUnavailable
};

/**
 * Batches an entry's table operations into few reads and transactions. If the
 * response to a write is lost, the batcher repeats the operation until the row
 * shows whose write took effect. Not thread safe: one thread uses an instance.
 */
class OperationBatcher
{
public:
  OperationBatcher(TableService& aTable,
                   ObjectStore& aObjects,
                   OperationBatcherLimits aLimits);

  void Add(TableOperation aOperation);
  bool HasWork() const { return !operations_.empty(); }
  std::size_t Pending() const { return operations_.size(); }

  /** Runs one round: at most one read and one transaction. Blocks. */
  BatchResult Step();

private:
  struct Round;

  TableRead RequiredReads(std::size_t aCount) const;
  /** Returns true if the operation is complete and needs no write. */
  bool Prepare(TableOperation& aOperation, Round& aRound);
  bool PreparePollClaim(TableOperation& aOperation, Round& aRound);
  bool PrepareClaim(TableOperation& aOperation, Round& aRound);
  bool PrepareTakeOver(TableOperation& aOperation, Round& aRound);
  bool PrepareRecord(TableOperation& aOperation, Round& aRound);
  bool PrepareRegister(TableOperation& aOperation, Round& aRound);
  /**
   * Completes the operation with the row's outcome. Returns false if the
   * answer could not be read from the object store.
   */
  bool CompleteFromRow(const ClaimRow& aRow,
                       TableOperation& aOperation,
                       Round& aRound);
  bool OnCommitted(TableOperation& aOperation, std::uint64_t aSequence);
  Result<Success, TableError> StoreAnswer(const dispatch::Answer& aAnswer,
                                          ClaimRow& aRow);
  Result<dispatch::ClaimOutcome, TableError> OutcomeOf(const ClaimRow& aRow);

  TableService& table_;
  ObjectStore& objects_;
  OperationBatcherLimits limits_;
  std::vector<TableOperation> operations_;
  /** Row versions of this entry's claims, so that recording needs no read. */
  std::unordered_map<SubmissionId, std::uint64_t> claimVersions_;
};

}

#endif
