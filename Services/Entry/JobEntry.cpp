#include "Services/Entry/JobEntry.h"

#include "LibCore/Log.h"
#include "platform/OperatorRows.h"

#include <charconv>
#include <fmt/format.h>

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

std::string
Text(std::int64_t aNumber)
{
  return std::to_string(aNumber);
}

std::string
Text(Milliseconds aTime)
{
  return std::to_string(aTime.count());
}
}

JobEntry::JobEntry(JobEntrySettings aSettings, service::EventLoop& aLoop)
  : settings_(std::move(aSettings))
  , loop_(aLoop)
  , answerSeconds_(metrics_.Latency("vanillaworks_answer_seconds"))
  , news_(control_, [this](MonotonicTime aNow) { ServeEarly(aNow); })
  , dispatcher_(settings_.limits, control_, NewIncarnation().Value(), *this)
  , links_(aLoop.Base(),
           settings_.entry,
           NewIncarnation(),
           control_,
           news_,
           dispatcher_)
  , store_(aLoop, settings_.storeAddress)
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
  if (!settings_.metricsAddress.empty()) {
    metricsPage_ = serve(settings_.metricsAddress,
                         [this](Exchange aExchange) { OnMetrics(aExchange); });
  }
  bool hasPages = settings_.metricsAddress.empty() || metricsPage_;
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
             settings_.linkAddress,
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
    Send(*aExchange, wire::PendingJobs(dispatcher_.Pending(route->name)));
    return;
  }
  auto id = wire::ParseJobId(request.path, route->pathPrefix);
  if (!id) {
    Send(*aExchange, wire::NoSuchJob());
    return;
  }
  OnJobPath(aExchange, *id);
}

void
JobEntry::OnNoRoute(const Exchange& aExchange)
{
  constexpr const char* kReason = "no_such_queue";
  metrics_.Counter("vanillaworks_refusals_total", "reason", kReason)
    .Increment();
  Log::Write(
    Event::JobRejected,
    { { "path", aExchange->Request().path },
      { "host", aExchange->Host() },
      { "reason", kReason },
      { "version", std::to_string(control_.Current().version.Value()) } });
  Send(*aExchange, wire::NoSuchQueue());
}

void
JobEntry::OnJobPath(const Exchange& aExchange, const SubmissionId& aJob)
{
  bool isDelete = aExchange->Request().method == service::HttpMethod::Delete;
  bool isKnown = isDelete ? dispatcher_.Cancel(aJob, MonotonicNow())
                          : dispatcher_.IsServing(aJob);
  Send(*aExchange, isKnown ? wire::RunningJob() : wire::NoSuchJob());
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
    Send(*aExchange, wire::NoSuchQueue());
    return;
  }
  auto parsed = wire::ParseJob(request.body);
  if (parsed.IsError()) {
    auto name = std::string(wire::JobProblemName(parsed.Error()));
    metrics_.Counter("vanillaworks_refusals_total", "reason", name).Increment();
    Log::Write(Event::JobRejected,
               { { "job", id->Value() }, { "reason", name } });
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
  metrics_
    .Counter("vanillaworks_refusals_total", "reason", std::string(aReason))
    .Increment();
  Log::Write(Event::JobRejected,
             { { "path", aExchange->Request().path },
               { "reason", std::string(aReason) } });
  Send(*aExchange, wire::Rejection(aReason, kRetryAfter));
}

void
JobEntry::Answer(WaiterId aWaiter,
                 const job::JobRequest& aJob,
                 const job::JobAnswer& aAnswer)
{
  auto now = MonotonicNow();
  auto elapsed = std::chrono::duration_cast<Milliseconds>(now - aJob.arrival);
  auto goal =
    std::chrono::duration_cast<Milliseconds>(aJob.Goal() - aJob.arrival);
  answerSeconds_.Observe(std::chrono::duration<double>(elapsed).count());
  auto reply = wire::ReplyFor(aAnswer);
  auto reason = std::string(JobReasonName(aAnswer.reason));
  bool isRejected = aAnswer.state == job::JobState::Rejected;
  if (isRejected) {
    metrics_.Counter("vanillaworks_refusals_total", "reason", reason)
      .Increment();
  }
  Log::Write(isRejected ? Event::JobRejected : Event::JobAnswered,
             { { "job", aJob.id.Value() },
               { "route", aJob.route.name },
               { "status", Text(std::int64_t{ reply.status }) },
               { "reason", reason },
               { "elapsed_ms", Text(elapsed) },
               { "goal_ms", Text(goal) },
               { "tasks", Text(std::int64_t{ aJob.tasks }) },
               { "estimate_ms", Text(aJob.estimate) } });
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
  if (aReply.retryAfter > 0) {
    headers.emplace_back("Retry-After", std::to_string(aReply.retryAfter));
  }
  aExchange.Reply(aReply.status, aReply.body, headers);
}

void
JobEntry::WakeSoon()
{
  loop_.RunAfter(kWake, [this] { dispatcher_.OnWake(MonotonicNow()); });
}

void
JobEntry::OnPlaced(const job::TaskPlaced& aEvent)
{
  metrics_.Counter("vanillaworks_starts_total").Increment();
  Log::WriteRoutine(Event::TaskPlaced,
                    { { "job", aEvent.job.Value() },
                      { "task", Text(std::int64_t{ aEvent.task }) },
                      { "run", Text(std::int64_t{ aEvent.run }) },
                      { "upstream", aEvent.upstream.Value() },
                      { "start_in_ms", Text(aEvent.startIn) },
                      { "end_in_ms", Text(aEvent.endIn) } });
}

void
JobEntry::OnEnded(const job::TaskEnded& aEvent)
{
  auto outcome = std::string(RunOutcomeName(aEvent.outcome));
  if (aEvent.outcome != protocol::RunOutcome::Done) {
    metrics_.Counter("vanillaworks_retries_total", "reason", outcome)
      .Increment();
  }
  Log::WriteRoutine(Event::TaskEnded,
                    { { "job", aEvent.job.Value() },
                      { "task", Text(std::int64_t{ aEvent.task }) },
                      { "run", Text(std::int64_t{ aEvent.run }) },
                      { "upstream", aEvent.upstream.Value() },
                      { "outcome", outcome },
                      { "elapsed_ms", Text(aEvent.elapsed) } });
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
  metrics_.SetGauge("vanillaworks_links", links_.Up());
  metrics_.SetGauge("vanillaworks_in_flight", waiters_.size());
  metrics_.SetGauge("vanillaworks_configuration_version",
                    control_.Current().version.Value());
  aExchange->Reply(kOk, metrics_.Text());
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
  stopBound_ = stopBeganAt_ + settings_.grace - kStopMargin;
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
