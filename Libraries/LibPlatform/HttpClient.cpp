#include "LibPlatform/HttpClient.h"

#include "LibHttp/SendTracker.h"

#include <curl/curl.h>

namespace vanillaworks::platform {

struct HttpClient::Handle
{
  CURL* curl = nullptr;
  curl_slist* headers = nullptr;
};

namespace {
std::size_t
AppendToBody(char* aData, std::size_t aSize, std::size_t aCount, void* aBody)
{
  static_cast<std::string*>(aBody)->append(aData, aSize * aCount);
  return aSize * aCount;
}
}

HttpClient::HttpClient(Milliseconds aTimeout)
  : handle_(std::make_unique<Handle>())
  , timeout_(aTimeout)
{
  handle_->curl = curl_easy_init();
  handle_->headers =
    curl_slist_append(nullptr, "Content-Type: application/json");
  // Without this header, curl waits for a "100 Continue" response before it
  // sends a larger body.
  handle_->headers = curl_slist_append(handle_->headers, "Expect:");
}

HttpClient::~HttpClient()
{
  curl_slist_free_all(handle_->headers);
  curl_easy_cleanup(handle_->curl);
}

Result<HttpResponse, TableError>
HttpClient::Get(const std::string& aUrl)
{
  return Perform(aUrl, "GET", nullptr);
}

Result<HttpResponse, TableError>
HttpClient::Post(const std::string& aUrl, const std::string& aBody)
{
  return Perform(aUrl, "POST", &aBody);
}

Result<HttpResponse, TableError>
HttpClient::Put(const std::string& aUrl, const std::string& aBody)
{
  return Perform(aUrl, "PUT", &aBody);
}

Result<HttpResponse, TableError>
HttpClient::Delete(const std::string& aUrl)
{
  return Perform(aUrl, "DELETE", nullptr);
}

Result<HttpResponse, TableError>
HttpClient::Perform(const std::string& aUrl,
                    const char* aMethod,
                    const std::string* aBody)
{
  auto* curl = handle_->curl;
  HttpResponse response;
  http::SendTracker sendTracker(aMethod);
  curl_easy_reset(curl);
  sendTracker.Attach(curl);
  curl_easy_setopt(curl, CURLOPT_URL, aUrl.c_str());
  curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, aMethod);
  curl_easy_setopt(curl, CURLOPT_HTTPHEADER, handle_->headers);
  curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(
    curl, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout_.count()));
  curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, &AppendToBody);
  curl_easy_setopt(curl, CURLOPT_WRITEDATA, &response.body);
  if (aBody) {
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, aBody->data());
    curl_easy_setopt(
      curl, CURLOPT_POSTFIELDSIZE, static_cast<long>(aBody->size()));
  }
  auto code = curl_easy_perform(curl);
  bool isUnreachable =
    code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST;
  if (isUnreachable && !sendTracker.MayHaveBeenSent()) {
    return Failure{ TableError::NotSent };
  }
  if (code != CURLE_OK) {
    return Failure{ TableError::ResponseLost };
  }
  curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &response.status);
  return response;
}

}
