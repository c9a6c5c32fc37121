#ifndef Utilities_LoadClient_h
#define Utilities_LoadClient_h

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace vanillaworks::measure {

/** A call to be made at its time. */
struct Call
{
  /** Milliseconds from the start of the run. */
  double at = 0;
  /** "POST" or "DELETE". */
  std::string method;
  std::string url;
  std::string body;
};

struct CallOutcome
{
  /** 0 when there was no answer. */
  long status = 0;
  std::string body;
  double sentAt = 0;
  double answeredAt = 0;
};

/** Something else to do at a time, on another thread. */
struct TimedAction
{
  double at = 0;
  std::function<void()> act;
};

/**
 * Makes all calls at their times, however long others take, and waits for
 * the answers (libcurl's multi interface). aProgress is called each second.
 */
std::vector<CallOutcome>
RunCalls(const std::vector<Call>& aCalls,
         std::vector<TimedAction> aActions,
         const std::function<void(double)>& aProgress);

}

#endif
