#include "Tests/StandIns/UpstreamStandIn.h"

#include <cstdlib>
#include <nlohmann/json.hpp>

namespace vanillaworks::standins {

namespace {
using Json = nlohmann::json;
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kFailed = 500;
}

UpstreamStandIn::UpstreamStandIn(event_base* aBase,
                                 const std::string& aAddress,
                                 double aSpeed)
  : speed_(aSpeed)
  , server_(aBase, aAddress, [this](std::shared_ptr<Exchange> aExchange) {
    OnExchange(aExchange);
  })
{
}

void
UpstreamStandIn::OnExchange(const std::shared_ptr<Exchange>& aExchange)
{
  auto path = aExchange->Path();
  if (path == "/run") {
    return Run(aExchange);
  }
  if (path == "/control") {
    auto body = Json::parse(aExchange->Body(), nullptr, false);
    if (body.is_object()) {
      speed_ = body.value("speed", speed_);
      fail_ = body.value("fail", fail_);
    }
    return aExchange->Reply(kOk, "");
  }
  auto records = Json::array();
  for (const auto& record : records_) {
    records.push_back(
      { record.submission, record.task, record.startedAt, record.endedAt });
  }
  aExchange->Reply(kOk, records.dump());
}

void
UpstreamStandIn::Run(const std::shared_ptr<Exchange>& aExchange)
{
  auto body = Json::parse(aExchange->Body(), nullptr, false);
  if (!body.is_object()) {
    return aExchange->Reply(kBadRequest, "");
  }
  auto submission = body.value("submission", "");
  auto task = body.value("task", std::uint32_t{ 0 });
  auto index = records_.size();
  auto startedAt = ToMicroseconds(MonotonicNow());
  records_.push_back({ submission, task, startedAt, 0 });
  if (fail_) {
    records_[index].endedAt = startedAt;
    return aExchange->Reply(kFailed, "failed");
  }
  constexpr double kMicrosecondsInMillisecond = 1000;
  auto atSpeedOne = std::strtod(body.value("payload", "").c_str(), nullptr);
  Microseconds time(static_cast<std::int64_t>(
    atSpeedOne * kMicrosecondsInMillisecond / speed_));
  server_.After(time, [this, aExchange, index] {
    auto& record = records_[index];
    record.endedAt = ToMicroseconds(MonotonicNow());
    aExchange->Reply(
      kOk, "done:" + record.submission + ":" + std::to_string(record.task));
  });
}

}
