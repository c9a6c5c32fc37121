#include "Services/Entry/JobEntry.h"

#include "LibCore/Log.h"
#include "platform/OperatorRows.h"

#include <algorithm>
#include <charconv>

namespace vanillaworks::entry {

namespace {
constexpr Milliseconds kTick{ 25 };
constexpr Milliseconds kWake{ 5 };
/**
 * A new process learns the configuration within a tenth of a second, from the
 * store or an agent, or must be taken to be cut off from both.
 */
constexpr Milliseconds kEarlyWait{ 250 };
constexpr std::size_t kMostEarly = 256;
constexpr Milliseconds kCallerCheck{ 100 };
constexpr Milliseconds kMembership{ 1000 };
/** Short, so that a silent connection is found while it still matters. */
constexpr Milliseconds kFeedWait{ 2000 };
/** The balancer takes two misses, a second apart, to turn elsewhere. */
constexpr Milliseconds kLeastStop{ 2600 };
/** Before the bound, for the last answers to leave. */
constexpr Milliseconds kStopMargin{ 400 };
/** A join that goes unheard on a dead connection is found after this. */
constexpr Milliseconds kMembersWait{ 10'000 };
constexpr Milliseconds kUsualWait{ 5000 };
constexpr const char* kMembers = "entries";
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

Incarnation
NewIncarnation()
{
  return Incarnation(static_cast<std::uint64_t>(
    std::chrono::system_clock::now().time_since_epoch().count()));
}
}

JobEntry::JobEntry(JobEntrySettings aSettings, service::EventLoop& aLoop)
  : settings_(std::move(aSettings))
  , loop_(aLoop)
  , news_(control_, [this](MonotonicTime aNow) { ServeEarly(aNow); })
  , dispatcher_(settings_.limits, control_, NewIncarnation().Value(), *this)
  , links_(aLoop.Base(),
           settings_.entry,
           NewIncarnation(),
           control_,
           news_,
           dispatcher_)
  , store_(aLoop,
           settings_.process.storeAddress,
           [this](wire::StoreStatus aStatus) {
             observer_.OnStoreCall(wire::StoreStatusName(aStatus));
           })
  , feed_(
      aLoop,
      store_,
      wire::kOperatorTable,
      kFeedWait,
      [this](const wire::TableFeed::Rows& aRows, std::uint64_t aRevision) {
        news_.Adopt(
          wire::DecodeOperatorRows(aRows, aRevision), "store", MonotonicNow());
      },
      [](bool aIsReachable) {
        Log::Write(aIsReachable ? Event::TableAvailable
                                : Event::TableUnavailable);
      })
  , members_(
      aLoop,
      store_,
      kMembers,
      kMembersWait,
      [this](const wire::TableFeed::Rows& aRows, std::uint64_t) {
        OnMembers(aRows);
      },
      [](bool) {})
{
}

JobEntry::~JobEntry() = default;

bool
JobEntry::Start()
{
  auto serve = [this](const std::string& aAddress, auto aHandler) {
    auto server = service::LoopHttpServer::Create(
      loop_.Base(), { aAddress }, std::move(aHandler));
    return server.IsError() ? nullptr : server.ReleaseValue();
  };
  front_ = serve(settings_.frontAddress,
                 [this](Exchange aExchange) { OnRequest(aExchange); });
  readiness_ = serve(settings_.readinessAddress,
                     [this](Exchange aExchange) { OnReadiness(aExchange); });
  if (!settings_.process.metricsAddress.empty()) {
    metricsPage_ = serve(settings_.process.metricsAddress,
                         [this](Exchange aExchange) { OnMetrics(aExchange); });
  }
  bool hasPages = settings_.process.metricsAddress.empty() || metricsPage_;
  bool isListening = front_ && readiness_ && hasPages &&
                     !links_.Listen(settings_.linkAddress).IsError();
  if (!isListening) {
    return false;
  }
  auto now = MonotonicNow();
  earlyUntil_ = now + kEarlyWait;
  dispatcher_.BeginWarmUp(now);
  feed_.Start();
  members_.Start();
  KeepMembership();
  loop_.RunEvery(kTick, [this] { OnTick(); });
  loop_.RunEvery(kMembership, [this] { KeepMembership(); });
  Log::Write(Event::ProcessStarted,
             { { "failure_domain", settings_.domain.Value() } });
  return true;
}

void
JobEntry::KeepMembership()
{
  if (isMember_ || stopping_) {
    return;
  }
  store_.Put(kMembers,
             settings_.entry.Value(),
             settings_.advertisedAddress,
             [this](wire::StoreStatus aStatus) {
               isMember_ = aStatus == wire::StoreStatus::Done;
             });
}

void
JobEntry::OnMembers(const wire::TableFeed::Rows& aRows)
{
  std::vector<std::string> addresses;
  for (const auto& row : aRows) {
    addresses.push_back(row.second);
  }
  links_.SetEntries(std::move(addresses));
}

void
JobEntry::SendToAgent(const UpstreamId& aUpstream, protocol::Message aMessage)
{
  links_.Send(aUpstream, std::move(aMessage));
}

void
JobEntry::OnRequest(Exchange aExchange)
{
  if (!control_.IsKnown()) {
    KeepEarly(aExchange);
    return;
  }
  Serve(aExchange, MonotonicNow());
}

void
JobEntry::KeepEarly(const Exchange& aExchange)
{
  auto now = MonotonicNow();
  if (now > earlyUntil_ || early_.size() >= kMostEarly) {
    Reject(aExchange, "no_configuration");
    return;
  }
  early_.push_back({ aExchange, now });
}

void
JobEntry::ServeEarly(MonotonicTime aNow)
{
  auto early = std::move(early_);
  early_.clear();
  for (const auto& request : early) {
    if (control_.IsKnown()) {
      Serve(request.exchange, request.arrival);
    } else if (aNow > earlyUntil_) {
      Reject(request.exchange, "no_configuration");
    } else {
      early_.push_back(request);
    }
  }
}

void
JobEntry::Serve(const Exchange& aExchange, MonotonicTime aArrival)
{
  const auto& request = aExchange->Request();
  const auto* route = control_.FindRoute(aExchange->Host(), request.path);
  if (!route) {
    OnNoRoute(aExchange);
    return;
  }
  if (request.method == service::HttpMethod::Post) {
    OnJob(aExchange, *route, aArrival);
    return;
  }
  if (request.path == route->pathPrefix) {
    Send(*aExchange, wire::PendingCountReply(dispatcher_.Pending(route->name)));
    return;
  }
  auto id = wire::ParseJobId(request.path, route->pathPrefix);
  if (!id) {
    Send(*aExchange, wire::NoSuchJobReply());
    return;
  }
  OnJobPath(aExchange, *id);
}

void
JobEntry::OnNoRoute(const Exchange& aExchange)
{
  observer_.OnNoRoute(aExchange->Request().path,
                      aExchange->Host(),
                      control_.Current().version.Value());
  Send(*aExchange, wire::NoSuchQueueReply());
}

void
JobEntry::OnJobPath(const Exchange& aExchange, const SubmissionId& aJob)
{
  bool isDelete = aExchange->Request().method == service::HttpMethod::Delete;
  bool isKnown = isDelete ? dispatcher_.Cancel(aJob, MonotonicNow())
                          : dispatcher_.IsServing(aJob);
  Send(*aExchange, isKnown ? wire::RunningJobReply() : wire::NoSuchJobReply());
}

Milliseconds
JobEntry::WaitOf(const service::LoopHttpExchange& aExchange,
                 const protocol::RouteRow& aRoute) const
{
  auto header = aExchange.Header(wire::kDeadlineHeader);
  std::int64_t waits = 0;
  if (header) {
    std::from_chars(header->data(), header->data() + header->size(), waits);
  }
  if (waits > 0) {
    return Milliseconds(waits);
  }
  return aRoute.timeoutMs > 0 ? Milliseconds(aRoute.timeoutMs) : kUsualWait;
}

void
JobEntry::OnJob(const Exchange& aExchange,
                const protocol::RouteRow& aRoute,
                MonotonicTime aArrival)
{
  const auto& request = aExchange->Request();
  auto id = wire::ParseJobId(request.path, aRoute.pathPrefix);
  if (!id) {
    Send(*aExchange, wire::NoSuchQueueReply());
    return;
  }
  auto parsed = wire::ParseJob(request.body);
  if (parsed.IsError()) {
    observer_.OnRejectedUnread(
      "job", id->Value(), wire::JobProblemName(parsed.Error()));
    Send(*aExchange, wire::ReplyFor(parsed.Error()));
    return;
  }
  auto job = parsed.ReleaseValue();
  job.id = *id;
  job.route = aRoute;
  job.arrival = aArrival;
  job.deadline = aArrival + WaitOf(*aExchange, aRoute);
  if (!EndsBeforeStop(job)) {
    Reject(aExchange, "stopping");
    return;
  }
  WaiterId waiter(nextWaiter_++);
  aExchange->OnCallerGone([this, waiter, id = *id] {
    Log::Write(Event::CallerGone, { { "job", id.Value() } });
    waiters_.erase(waiter);
    dispatcher_.OnWaiterGone(id, waiter, MonotonicNow());
  });
  waiters_.emplace(waiter, aExchange);
  dispatcher_.Submit(std::move(job), waiter, MonotonicNow());
}

bool
JobEntry::EndsBeforeStop(const job::JobRequest& aJob) const
{
  return !stopping_ || aJob.Goal() <= stopBound_;
}

void
JobEntry::Reject(const Exchange& aExchange, std::string_view aReason)
{
  constexpr Milliseconds kRetryAfter{ 1000 };
  observer_.OnRejectedUnread("path", aExchange->Request().path, aReason);
  Send(*aExchange, wire::RejectionReply(aReason, kRetryAfter));
}

void
JobEntry::Answer(WaiterId aWaiter,
                 const job::JobRequest& aJob,
                 const job::JobAnswer& aAnswer)
{
  auto reply = wire::ReplyFor(aAnswer);
  auto elapsed =
    std::chrono::duration_cast<Milliseconds>(MonotonicNow() - aJob.arrival);
  observer_.OnAnswered(aJob, aAnswer, reply.status, elapsed);
  auto found = waiters_.find(aWaiter);
  if (found == waiters_.end()) {
    return;
  }
  auto exchange = std::move(found->second);
  waiters_.erase(found);
  Send(*exchange, reply);
}

void
JobEntry::Send(service::LoopHttpExchange& aExchange, const wire::Reply& aReply)
{
  service::LoopHttpExchange::Headers headers;
  if (aReply.retryAfterSeconds > 0) {
    headers.emplace_back("Retry-After",
                         std::to_string(aReply.retryAfterSeconds));
  }
  aExchange.Reply(aReply.status, aReply.body, headers);
}

void
JobEntry::WakeSoon()
{
  loop_.RunAfter(kWake, [this] { dispatcher_.OnWake(MonotonicNow()); });
}

void
JobEntry::OnReadiness(const Exchange& aExchange)
{
  bool isReady = control_.IsKnown() &&
                 dispatcher_.HasUsableUpstream(MonotonicNow()) && !stopping_;
  aExchange->Reply(isReady ? kOk : kUnavailable, "{}");
}

void
JobEntry::OnMetrics(const Exchange& aExchange)
{
  if (aExchange->Request().path != "/metrics") {
    aExchange->Reply(kNotFound, "{}");
    return;
  }
  auto now = MonotonicNow();
  auto age = [now](MonotonicTime aSince) {
    return std::chrono::duration_cast<Milliseconds>(now - aSince);
  };
  Milliseconds upstreamAge{ 0 };
  for (const auto& [upstream, view] : dispatcher_.Upstreams()) {
    if (view.IsLinked()) {
      upstreamAge = std::max(upstreamAge, age(view.HeardAt()));
    }
  }
  aExchange->Reply(kOk,
                   observer_.Page({ links_.Up(),
                                    waiters_.size(),
                                    control_.Current().version.Value(),
                                    age(news_.AdoptedAt()),
                                    upstreamAge }));
}

void
JobEntry::OnTick()
{
  auto now = MonotonicNow();
  dispatcher_.OnTick(now);
  if (!early_.empty()) {
    ServeEarly(now);
  }
  links_.OnTick(now);
  if (now - callersCheckedAt_ >= kCallerCheck) {
    callersCheckedAt_ = now;
    front_->CheckCallers();
  }
  if (stopping_) {
    CheckStop(now);
  }
  Log::Flush();
}

void
JobEntry::BeginStop()
{
  if (stopping_) {
    return;
  }
  Log::Write(Event::ProcessStopping);
  stopping_ = true;
  stopBeganAt_ = MonotonicNow();
  stopBound_ = stopBeganAt_ + settings_.process.grace - kStopMargin;
  front_->CloseAfterAnswers();
  store_.Remove(kMembers, settings_.entry.Value(), [](wire::StoreStatus) {});
}

void
JobEntry::CheckStop(MonotonicTime aNow)
{
  bool isOver = aNow > stopBound_;
  bool isDone = aNow - stopBeganAt_ > kLeastStop && waiters_.empty();
  if (!isOver && !isDone) {
    return;
  }
  if (!isDone) {
    Log::Write(Event::StopBoundReached);
    dispatcher_.GiveUpAll(aNow);
  }
  // One more turn lets the last answers leave.
  loop_.RunAfter(kTick, [this] { loop_.Stop(); });
}

}
