#include "Utilities/LoadClient.h"

#include "LibCore/Time.h"

#include <algorithm>
#include <curl/curl.h>
#include <map>
#include <memory>
#include <thread>

namespace vanillaworks::measure {

namespace {
constexpr long kRequestTimeoutMs = 120'000;
constexpr long kMaxConnections = 2000;

std::size_t
AppendToBody(char* aData, std::size_t aSize, std::size_t aCount, void* aBody)
{
  static_cast<std::string*>(aBody)->append(aData, aSize * aCount);
  return aSize * aCount;
}

class LoadClient
{
public:
  explicit LoadClient(const std::vector<ScheduledRequest>& aRequests)
    : requests_(aRequests)
    , outcomes_(aRequests.size())
    , multiHandle_(curl_multi_init())
    , startTime_(MonotonicNow())
  {
    // Without this, libcurl sends "Expect: 100-continue" with larger bodies and
    // waits for the interim response.
    headers_ = curl_slist_append(nullptr, "Expect:");
    curl_multi_setopt(multiHandle_, CURLMOPT_MAXCONNECTS, kMaxConnections);
  }

  ~LoadClient()
  {
    curl_multi_cleanup(multiHandle_);
    curl_slist_free_all(headers_);
  }

  double ElapsedMs() const
  {
    return std::chrono::duration<double, std::milli>(MonotonicNow() -
                                                     startTime_)
      .count();
  }

  std::vector<RequestOutcome> Run(const std::function<void(double)>& aProgress)
  {
    double nextProgressMs = 0;
    while (next_ < requests_.size() || !openRequests_.empty()) {
      while (next_ < requests_.size() && requests_[next_].atMs <= ElapsedMs()) {
        Send(next_++);
      }
      int running = 0;
      curl_multi_perform(multiHandle_, &running);
      CollectCompleted();
      if (ElapsedMs() >= nextProgressMs) {
        aProgress(ElapsedMs());
        nextProgressMs += 1000;
      }
      double waitMs =
        next_ < requests_.size() ? requests_[next_].atMs - ElapsedMs() : 10;
      int timeoutMs = static_cast<int>(std::clamp(waitMs, 0.0, 10.0));
      curl_multi_poll(multiHandle_, nullptr, 0, timeoutMs, nullptr);
    }
    return std::move(outcomes_);
  }

private:
  void Send(std::size_t aIndex)
  {
    const auto& request = requests_[aIndex];
    auto* curl = curl_easy_init();
    curl_easy_setopt(curl, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers_);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, kRequestTimeoutMs);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &AppendToBody);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &outcomes_[aIndex].body);
    if (request.method == "POST") {
      curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request.body.data());
      curl_easy_setopt(
        curl, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
    }
    outcomes_[aIndex].sentAtMs = ElapsedMs();
    openRequests_[curl] = aIndex;
    curl_multi_add_handle(multiHandle_, curl);
  }

  void CollectCompleted()
  {
    int remainingMessages = 0;
    while (auto* message =
             curl_multi_info_read(multiHandle_, &remainingMessages)) {
      auto* curl = message->easy_handle;
      auto& outcome = outcomes_[openRequests_[curl]];
      outcome.completedAtMs = ElapsedMs();
      if (message->data.result == CURLE_OK) {
        curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &outcome.status);
      }
      openRequests_.erase(curl);
      curl_multi_remove_handle(multiHandle_, curl);
      curl_easy_cleanup(curl);
    }
  }

  const std::vector<ScheduledRequest>& requests_;
  std::vector<RequestOutcome> outcomes_;
  CURLM* multiHandle_;
  curl_slist* headers_;
  MonotonicTime startTime_;
  std::size_t next_ = 0;
  std::map<CURL*, std::size_t> openRequests_;
};
}

std::vector<RequestOutcome>
SendRequests(const std::vector<ScheduledRequest>& aRequests,
             std::vector<ScheduledAction> aActions,
             const std::function<void(double)>& aProgress)
{
  LoadClient client(aRequests);
  std::thread actionThread([&client, &aActions] {
    for (auto& action : aActions) {
      while (client.ElapsedMs() < action.atMs) {
        std::this_thread::sleep_for(Milliseconds(1));
      }
      action.run();
    }
  });
  auto outcomes = client.Run(aProgress);
  actionThread.join();
  return outcomes;
}

}
