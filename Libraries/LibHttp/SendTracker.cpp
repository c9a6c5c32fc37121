#include "LibHttp/SendTracker.h"

namespace vanillaworks::http {

struct SendTrackerCallbacks
{
  /** Called by libcurl each time before it sends the request. */
  static int OnSend(void* aTracker, char*, char*, int, int)
  {
    auto* tracker = static_cast<SendTracker*>(aTracker);
    if (tracker->MayHaveBeenSent() && !tracker->isRepeatable_) {
      return CURL_PREREQFUNC_ABORT;
    }
    ++tracker->sendCount_;
    return CURL_PREREQFUNC_OK;
  }
};

SendTracker::SendTracker(std::string_view aMethod)
  : isRepeatable_(aMethod == "GET" || aMethod == "PUT" || aMethod == "DELETE")
{
}

void
SendTracker::Attach(CURL* aTransfer)
{
  curl_easy_setopt(
    aTransfer, CURLOPT_PREREQFUNCTION, &SendTrackerCallbacks::OnSend);
  curl_easy_setopt(aTransfer, CURLOPT_PREREQDATA, this);
}

}
