#ifndef Utilities_LoadClient_h
#define Utilities_LoadClient_h

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace vanillaworks::measure {

/** An HTTP request and the time to send it at. */
struct ScheduledRequest
{
  /** Milliseconds from the start of the run. */
  double atMs = 0;
  /** "POST" or "DELETE". */
  std::string method;
  std::string url;
  std::string body;
};

struct RequestOutcome
{
  /** HTTP status code; 0 if there was no response. */
  long status = 0;
  std::string body;
  /** Milliseconds from the start of the run. */
  double sentAtMs = 0;
  /** Milliseconds from the start of the run. */
  double completedAtMs = 0;
};

/** A function that is called at a given time, on a thread of its own. */
struct ScheduledAction
{
  /** Milliseconds from the start of the run. */
  double atMs = 0;
  std::function<void()> run;
};

/**
 * Sends each request at its time, no matter how many are still open (open-loop
 * load), and waits for all responses. aRequests is sorted by time. aActions
 * is sorted by time too and runs one action after the other on one additional
 * thread. aProgress is called about once a second on the calling thread with
 * the milliseconds since the start.
 */
std::vector<RequestOutcome>
SendRequests(const std::vector<ScheduledRequest>& aRequests,
             std::vector<ScheduledAction> aActions,
             const std::function<void(double)>& aProgress);

}

#endif
