#ifndef Services_Agent_JobAgentLinks_h
#define Services_Agent_JobAgentLinks_h

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibJob/CancelledJobMemory.h"
#include "LibJob/ControlView.h"
#include "LibJob/RunSupervisor.h"
#include "LibLink/LinkManager.h"
#include "LibLink/LinkObserver.h"
#include "LibLink/ReconnectBackoff.h"
#include "LibService/ControlExchange.h"
#include "LibService/PeerLiveness.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace vanillaworks::agent {

/**
 * The links of an agent to the entries: connects, reconnects, sends heartbeats
 * and upstream status, and passes frames on. Must be used on the event loop's
 * thread only.
 */
class JobAgentLinks final : public link::LinkObserver
{
public:
  /** aBase and all references must outlive this object. */
  JobAgentLinks(event_base* aBase,
                std::vector<std::string> aEntries,
                const job::ControlView& aControl,
                service::ControlExchange& aControlExchange,
                job::RunSupervisor& aSupervisor);

  /** Drops the message if the entry is not linked. */
  void Send(const EntryId& aEntry, protocol::Message aMessage);
  /**
   * Connects, sends due heartbeats and status, and closes silent links. Call
   * about every 25 ms.
   */
  void OnTick(MonotonicTime aNow);
  void AddEntryAddresses(const std::vector<std::string>& aAddresses);
  /**
   * Adds the addresses and forgets all others, except those from the settings
   * and those of linked entries. The list must be complete.
   */
  void SetEntryAddresses(const std::vector<std::string>& aAddresses);
  /** Sends the status to all entries at once, such as when a stop begins. */
  void SendStatusNow();
  std::size_t LinkedEntryCount() const { return linkByEntry_.size(); }
  std::size_t KnownEntryCount() const { return endpoints_.size(); }

  void OnLinkUp(link::LinkId aLink, link::LinkDirection aDirection) override;
  void OnLinkFrame(link::LinkId aLink, protocol::Frame aFrame) override;
  void OnLinkDown(link::LinkId aLink, link::LinkCloseReason aReason) override;

private:
  struct Session
  {
    explicit Session(MonotonicTime aNow)
      : liveness(aNow)
    {
    }

    service::PeerLiveness liveness;
    std::string address;
    bool isUp = false;
    /** Empty until the entry's RunResume arrives. */
    EntryId entry;
    std::uint64_t sentStatusRevision = 0;
    /** The last full status sent; while it applies, only figures are sent. */
    std::optional<protocol::UpstreamStatus> lastFullStatus;
    MonotonicTime statusSentAt;
  };

  void SendOn(link::LinkId aLink, Session& aSession, protocol::Message);
  void SendStatus(link::LinkId aLink, Session& aSession, MonotonicTime aNow);
  /** Whether a link to aAddress is up or being established. */
  bool HasLinkTo(const std::string& aAddress) const;
  /** Whether aLink is the link in use to aEntry. */
  bool IsCurrent(const EntryId& aEntry, link::LinkId aLink) const;
  void ConnectMissing(MonotonicTime aNow);
  void MaintainLink(link::LinkId aLink, Session& aSession, MonotonicTime aNow);
  void OnResume(link::LinkId aLink,
                Session& aSession,
                const protocol::RunResume& aResume,
                MonotonicTime aNow);
  void OnMessage(Session& aSession,
                 const protocol::Message& aMessage,
                 MonotonicTime aNow);
  /** Tells the other entries of jobs that were cancelled at aFrom. */
  void RelayCancelledJobs(const EntryId& aFrom,
                          const protocol::CancelledJobs& aCancelled,
                          MonotonicTime aNow);

  const job::ControlView& control_;
  service::ControlExchange& controlExchange_;
  job::RunSupervisor& supervisor_;
  link::LinkManager linkManager_;
  job::CancelledJobMemory cancelledJobs_;
  std::set<std::string> addressesFromSettings_;
  std::map<std::string, link::ReconnectBackoff> endpoints_;
  std::map<link::LinkId, Session> sessions_;
  std::map<EntryId, link::LinkId> linkByEntry_;
};

}

#endif
