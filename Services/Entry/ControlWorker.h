#ifndef Services_Entry_ControlWorker_h
#define Services_Entry_ControlWorker_h

#include "LibDispatch/ConfigurationDocument.h"
#include "LibDispatch/MemberTable.h"
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

/** What one successful poll of the table showed. */
struct ControlSnapshot
{
  /** When the read was sent. */
  MonotonicTime readSentAt;
  std::optional<dispatch::ConfigurationDocument> configuration;
  std::vector<dispatch::MemberRow> members;
  std::map<EntryId, Incarnation> fences;
};

struct ControlOptions
{
  EntryId entry;
  Incarnation incarnation;
  std::string address;
  Milliseconds pollInterval;
  Milliseconds renewalInterval;
};

/**
 * The thread that polls configuration and members and renews this entry's
 * own lease.
 */
class ControlWorker
{
public:
  using OnSnapshot = std::function<void(ControlSnapshot)>;

  /** aOnSnapshot is called on the thread. */
  ControlWorker(std::unique_ptr<platform::TableService> aTable,
                ControlOptions aOptions,
                OnSnapshot aOnSnapshot);
  ~ControlWorker();
  ControlWorker(const ControlWorker&) = delete;
  ControlWorker& operator=(const ControlWorker&) = delete;

  /** Renews under that incarnation from now on. Thread safe. */
  void SetIncarnation(Incarnation aIncarnation);
  /** Deletes a lapsed member's row if it is still as given. Thread safe. */
  void DeleteLapsedMember(const dispatch::MemberRow& aRow);
  /** Deletes the own row and ends the thread. */
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
  /** Whether the own row was written by this process. */
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
