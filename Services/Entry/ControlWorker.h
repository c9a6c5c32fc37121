#ifndef Services_Entry_ControlWorker_h
#define Services_Entry_ControlWorker_h

#include "LibDispatch/ConfigurationDocument.h"
#include "LibDispatch/MembershipView.h"
#include "LibPlatform/TableService.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace vanillaworks::entry {

/** The rows that one successful poll of the table returned. */
struct ControlSnapshot
{
  /** The time at which the read was sent. */
  MonotonicTime readSentAt;
  /** Empty if the table has no configuration row. */
  std::optional<dispatch::ConfigurationDocument> configuration;
  std::vector<dispatch::MemberRow> members;
  /** The newest fenced incarnation of each entry. */
  std::map<EntryId, Incarnation> fences;
};

struct ControlOptions
{
  EntryId entry;
  Incarnation incarnation;
  /** Address for other processes, as published in the member row. */
  std::string address;
  Milliseconds pollInterval;
  Milliseconds renewalInterval;
};

/**
 * Runs the thread that polls the configuration, the members and the fences, and
 * that renews this entry's own lease.
 */
class ControlWorker
{
public:
  using OnSnapshot = std::function<void(ControlSnapshot)>;

  /** Starts the thread, which calls aOnSnapshot after each successful poll. */
  ControlWorker(std::unique_ptr<platform::TableService> aTable,
                ControlOptions aOptions,
                OnSnapshot aOnSnapshot);
  ~ControlWorker();
  ControlWorker(const ControlWorker&) = delete;
  ControlWorker& operator=(const ControlWorker&) = delete;

  /**
   * Renews the lease under aIncarnation from now on, first with a poll that
   * starts at once. Thread safe.
   */
  void SetIncarnation(Incarnation aIncarnation);
  /**
   * Deletes a lapsed member's row after the next poll, provided that the row
   * still has the version in aRow. Thread safe.
   */
  void DeleteLapsedMember(const dispatch::MemberRow& aRow);
  /**
   * Ends the thread, which deletes this entry's row last, and waits for it.
   * Must not be called twice.
   */
  void Leave();

private:
  void Run();
  void Poll();
  void Renew(const std::vector<dispatch::MemberRow>& aMembers);
  void DeleteLapsedMembers();
  void DeleteOwnRow();

  std::unique_ptr<platform::TableService> table_;
  ControlOptions options_;
  OnSnapshot onSnapshot_;
  MonotonicTime lastRenewal_;
  std::uint64_t renewalCount_ = 0;
  /** Whether this process has written this entry's row. */
  bool isMember_ = false;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::vector<dispatch::MemberRow> lapsedMembers_;
  bool isStopping_ = false;
  bool deletesOwnRowOnStop_ = false;
  std::thread thread_;
};

}

#endif
