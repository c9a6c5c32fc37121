#ifndef Libraries_LibDispatch_DispatcherPort_h
#define Libraries_LibDispatch_DispatcherPort_h

#include "LibCore/Time.h"
#include "LibDispatch/Answer.h"
#include "LibDispatch/EntryIdentity.h"
#include "LibDispatch/RetryReason.h"
#include "LibProtocol/Message.h"

#include <string>

namespace vanillaworks::dispatch {

/** The side effects of a Dispatcher; called on the dispatcher's thread. */
class DispatcherPort
{
public:
  virtual ~DispatcherPort() = default;

  /** Best effort: the dispatcher learns of a lost link by OnAgentDown. */
  virtual void SendToAgent(const UpstreamId& aUpstream,
                           protocol::Message aMessage) = 0;
  /**
   * Acknowledges a result, which the agent may then discard. It is sent with
   * the next frame.
   */
  virtual void Acknowledge(const UpstreamId& aUpstream,
                           std::uint64_t aResult) = 0;

  /**
   * Claims the submission in the table. Dispatcher::OnClaim is called with the
   * outcome, however long that takes.
   */
  virtual void Claim(const SubmissionId& aSubmission,
                     const std::string& aDigest,
                     WallTime aDeadline) = 0;
  /** Reads the claim again after a delay; OnClaim gets the outcome. */
  virtual void PollClaim(const SubmissionId& aSubmission) = 0;
  /**
   * Takes over the claim of an owner whose lease has lapsed; OnClaim gets the
   * outcome.
   */
  virtual void TakeOver(const SubmissionId& aSubmission,
                        const std::string& aDigest,
                        const EntryIdentity& aOwner,
                        WallTime aDeadline) = 0;
  /** Records the answer in the table; OnRecorded gets the outcome. */
  virtual void Record(const Answer& aAnswer,
                      const std::string& aDigest,
                      WallTime aDeadline) = 0;

  virtual void Deliver(WaiterId aWaiter, const Answer& aAnswer) = 0;
  virtual void CountRetry(RetryReason aReason) = 0;
};

}

#endif
