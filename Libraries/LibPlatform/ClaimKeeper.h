#ifndef Libraries_LibPlatform_ClaimKeeper_h
#define Libraries_LibPlatform_ClaimKeeper_h

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

struct ClaimKeeperLimits
{
  /** How long past its deadline a submission is remembered. */
  Milliseconds remember{ 600'000 };
  /** Answers above this go to the object store. */
  std::size_t inlineAnswerBytes = std::size_t{ 16 } * 1024;
  std::size_t operationsInTransaction = 256;
};

enum class KeeperResult : std::uint8_t
{
  /** All that was given was answered or waits for its next turn. */
  Progress,
  /** The table did not answer; everything unanswered is kept. */
  TableDown
};

/**
 * Turns what an entry wants of the table into few reads and transactions, and
 * finds out what became of those whose answer was lost: a write is repeated
 * until the row shows whose it is. One thread uses it.
 */
class ClaimKeeper
{
public:
  ClaimKeeper(TableService& aTable,
              ObjectStore& aObjects,
              ClaimKeeperLimits aLimits);

  void Add(TableOperation aOperation);
  bool HasWork() const { return !operations_.empty(); }
  std::size_t Pending() const { return operations_.size(); }

  /** One round: at most one read and one transaction. */
  KeeperResult Step();

private:
  struct Round;

  TableRead NeededReads(std::size_t aCount) const;
  /** Whether the operation is done. */
  bool Prepare(TableOperation& aOperation, Round& aRound);
  bool PrepareWatch(TableOperation& aOperation, Round& aRound);
  bool PrepareClaim(TableOperation& aOperation, Round& aRound);
  bool PrepareTakeOver(TableOperation& aOperation, Round& aRound);
  bool PrepareRecord(TableOperation& aOperation, Round& aRound);
  bool PrepareRegister(TableOperation& aOperation, Round& aRound);
  /** Whether the row's outcome could be had and was given. */
  bool AnswerFrom(const ClaimRow& aRow,
                  TableOperation& aOperation,
                  Round& aRound);
  bool OnCommitted(TableOperation& aOperation, std::uint64_t aSequence);
  Result<Success, TableError> StoreAnswer(const dispatch::Answer& aAnswer,
                                          ClaimRow& aRow);
  Result<dispatch::ClaimOutcome, TableError> OutcomeOf(const ClaimRow& aRow);

  TableService& table_;
  ObjectStore& objects_;
  ClaimKeeperLimits limits_;
  std::vector<TableOperation> operations_;
  /** Versions of our own claims' rows, to record without a read. */
  std::unordered_map<SubmissionId, std::uint64_t> versions_;
};

}

#endif
