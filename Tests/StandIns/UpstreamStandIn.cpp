#include "Tests/StandIns/UpstreamStandIn.h"

#include <cstdlib>
#include <nlohmann/json.hpp>

namespace vanillaworks::standins {

namespace {
using Json = nlohmann::json;
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kInternalServerError = 500;
}

UpstreamStandIn::UpstreamStandIn(event_base* aBase,
                                 const std::string& aAddress,
                                 double aSpeed)
  : speed_(aSpeed)
  , server_(aBase, aAddress, [this](std::shared_ptr<Exchange> aExchange) {
    OnRequest(aExchange);
  })
{
}

void
UpstreamStandIn::OnRequest(const std::shared_ptr<Exchange>& aExchange)
{
  auto path = aExchange->Path();
  if (path == "/run") {
    return OnRun(aExchange);
  }
  if (path == "/control") {
    auto body = Json::parse(aExchange->Body(), nullptr, false);
    if (body.is_object()) {
      speed_ = body.value("speed", speed_);
      isFailing_ = body.value("fail", isFailing_);
    }
    return aExchange->Respond(kOk, "");
  }
  auto records = Json::array();
  for (const auto& record : records_) {
    records.push_back(
      { record.submission, record.task, record.startedAtUs, record.endedAtUs });
  }
  aExchange->Respond(kOk, records.dump());
}

void
UpstreamStandIn::OnRun(const std::shared_ptr<Exchange>& aExchange)
{
  auto body = Json::parse(aExchange->Body(), nullptr, false);
  if (!body.is_object()) {
    return aExchange->Respond(kBadRequest, "");
  }
  auto submission = body.value("submission", "");
  auto task = body.value("task", std::uint32_t{ 0 });
  auto index = records_.size();
  auto startedAtUs = ToMicroseconds(MonotonicNow());
  records_.push_back({ submission, task, startedAtUs, 0 });
  if (isFailing_) {
    records_[index].endedAtUs = startedAtUs;
    return aExchange->Respond(kInternalServerError, "failed");
  }
  constexpr double kMicrosecondsInMillisecond = 1000;
  auto baseDurationMs = std::strtod(body.value("payload", "").c_str(), nullptr);
  Microseconds duration(static_cast<std::int64_t>(
    baseDurationMs * kMicrosecondsInMillisecond / speed_));
  server_.RunAfter(duration, [this, aExchange, index] {
    auto& record = records_[index];
    record.endedAtUs = ToMicroseconds(MonotonicNow());
    aExchange->Respond(
      kOk, "done:" + record.submission + ":" + std::to_string(record.task));
  });
}

}
