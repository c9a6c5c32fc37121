#ifndef Libraries_LibDispatch_DispatcherPort_h
#define Libraries_LibDispatch_DispatcherPort_h

#include "LibCore/Time.h"
#include "LibDispatch/Answer.h"
#include "LibDispatch/EntryIdentity.h"
#include "LibDispatch/RetryReason.h"
#include "LibProtocol/Message.h"

#include <string>

namespace vanillaworks::dispatch {

/** What a Dispatcher does to the world; called on the dispatcher's thread. */
class DispatcherPort
{
public:
  virtual ~DispatcherPort() = default;

  /** Best effort: a lost link is seen by the dispatcher as OnAgentDown. */
  virtual void SendToAgent(const UpstreamId& aUpstream,
                           protocol::Message aMessage) = 0;
  /** The agent may forget the result; travels with the next frame. */
  virtual void Acknowledge(const UpstreamId& aUpstream,
                           std::uint64_t aResult) = 0;

  /** Claims in the table; the answer is OnClaim, however long it takes. */
  virtual void Claim(const SubmissionId& aSubmission,
                     const std::string& aDigest,
                     WallTime aDeadline) = 0;
  /** Reads the claim again a little later; the answer is OnClaim. */
  virtual void Watch(const SubmissionId& aSubmission) = 0;
  /** Takes a lapsed owner's claim; the answer is OnClaim. */
  virtual void TakeOver(const SubmissionId& aSubmission,
                        const std::string& aDigest,
                        const EntryIdentity& aOwner,
                        WallTime aDeadline) = 0;
  /** Records the outcome; the answer is OnRecorded. */
  virtual void Record(const Answer& aAnswer,
                      const std::string& aDigest,
                      WallTime aDeadline) = 0;

  virtual void Deliver(WaiterId aWaiter, const Answer& aAnswer) = 0;
  virtual void CountRetry(RetryReason aReason) = 0;
};

}

#endif
