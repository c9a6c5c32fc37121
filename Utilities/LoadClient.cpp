#include "Utilities/LoadClient.h"

#include "LibCore/Time.h"

#include <algorithm>
#include <curl/curl.h>
#include <map>
#include <memory>
#include <thread>

namespace vanillaworks::measure {

namespace {
constexpr long kTimeoutMilliseconds = 120'000;
constexpr long kConnections = 2000;

std::size_t
AppendToBody(char* aData, std::size_t aSize, std::size_t aCount, void* aBody)
{
  static_cast<std::string*>(aBody)->append(aData, aSize * aCount);
  return aSize * aCount;
}

class CallRun
{
public:
  explicit CallRun(const std::vector<Call>& aCalls)
    : calls_(aCalls)
    , outcomes_(aCalls.size())
    , multi_(curl_multi_init())
    , start_(MonotonicNow())
  {
    headers_ = curl_slist_append(nullptr, "Expect:");
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, kConnections);
  }

  ~CallRun()
  {
    curl_multi_cleanup(multi_);
    curl_slist_free_all(headers_);
  }

  double Now() const
  {
    return std::chrono::duration<double, std::milli>(MonotonicNow() - start_)
      .count();
  }

  std::vector<CallOutcome> Run(const std::function<void(double)>& aProgress)
  {
    double nextProgress = 0;
    while (next_ < calls_.size() || !open_.empty()) {
      while (next_ < calls_.size() && calls_[next_].at <= Now()) {
        Send(next_++);
      }
      int running = 0;
      curl_multi_perform(multi_, &running);
      Collect();
      if (Now() >= nextProgress) {
        aProgress(Now());
        nextProgress += 1000;
      }
      double wait = next_ < calls_.size() ? calls_[next_].at - Now() : 10;
      int milliseconds = static_cast<int>(std::clamp(wait, 0.0, 10.0));
      curl_multi_poll(multi_, nullptr, 0, milliseconds, nullptr);
    }
    return std::move(outcomes_);
  }

private:
  void Send(std::size_t aIndex)
  {
    const auto& call = calls_[aIndex];
    auto* curl = curl_easy_init();
    curl_easy_setopt(curl, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers_);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, kTimeoutMilliseconds);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &AppendToBody);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &outcomes_[aIndex].body);
    if (call.method == "POST") {
      curl_easy_setopt(curl, CURLOPT_POSTFIELDS, call.body.data());
      curl_easy_setopt(
        curl, CURLOPT_POSTFIELDSIZE, static_cast<long>(call.body.size()));
    }
    outcomes_[aIndex].sentAt = Now();
    open_[curl] = aIndex;
    curl_multi_add_handle(multi_, curl);
  }

  void Collect()
  {
    int left = 0;
    while (auto* message = curl_multi_info_read(multi_, &left)) {
      auto* curl = message->easy_handle;
      auto& outcome = outcomes_[open_[curl]];
      outcome.answeredAt = Now();
      if (message->data.result == CURLE_OK) {
        curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &outcome.status);
      }
      open_.erase(curl);
      curl_multi_remove_handle(multi_, curl);
      curl_easy_cleanup(curl);
    }
  }

  const std::vector<Call>& calls_;
  std::vector<CallOutcome> outcomes_;
  CURLM* multi_;
  curl_slist* headers_;
  MonotonicTime start_;
  std::size_t next_ = 0;
  std::map<CURL*, std::size_t> open_;
};
}

std::vector<CallOutcome>
RunCalls(const std::vector<Call>& aCalls,
         std::vector<TimedAction> aActions,
         const std::function<void(double)>& aProgress)
{
  CallRun run(aCalls);
  std::thread actions([&run, &aActions] {
    for (auto& action : aActions) {
      while (run.Now() < action.at) {
        std::this_thread::sleep_for(Milliseconds(1));
      }
      action.act();
    }
  });
  auto outcomes = run.Run(aProgress);
  actions.join();
  return outcomes;
}

}
