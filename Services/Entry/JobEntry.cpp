#include "Services/Entry/JobEntry.h"

#include "LibCore/Log.h"
#include "Services/Entry/CallerTimeout.h"
#include "platform/OperatorRows.h"

#include <algorithm>

namespace vanillaworks::entry {

namespace {
constexpr Milliseconds kTickInterval{ 25 };
constexpr Milliseconds kWakeDelay{ 5 };
constexpr Milliseconds kCallerCheckInterval{ 100 };
constexpr Milliseconds kRegistrationInterval{ 1000 };
/**
 * Short, so that a dead connection is detected while a missed change of the
 * configuration still matters.
 */
constexpr Milliseconds kOperatorFeedTimeout{ 1500 };
/**
 * The load balancer needs two failed checks, one second apart, to switch to
 * another entry.
 */
constexpr Milliseconds kMinStopDuration{ 2600 };
/** The time before the end of the grace period for sending the last answers. */
constexpr Milliseconds kStopMargin{ 400 };
/** The longest time for which a dead connection hides that an entry joined. */
constexpr Milliseconds kMemberFeedTimeout{ 10'000 };
constexpr const char* kMembersTable = "entries";
constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusUnavailable = 503;

Incarnation
NewIncarnation()
{
  return Incarnation(static_cast<std::uint64_t>(
    std::chrono::system_clock::now().time_since_epoch().count()));
}

Milliseconds
ElapsedSince(MonotonicTime aTime)
{
  return std::chrono::duration_cast<Milliseconds>(MonotonicNow() - aTime);
}
}

JobEntry::JobEntry(JobEntrySettings aSettings, service::EventLoop& aLoop)
  : settings_(std::move(aSettings))
  , loop_(aLoop)
  , controlExchange_(control_,
                     [this](MonotonicTime aNow) { ServeHeldRequests(aNow); })
  , dispatcher_(settings_.dispatcherLimits,
                control_,
                NewIncarnation().Value(),
                *this)
  , clients_(settings_.process.clientLimits,
             [this](service::ClientCloseReason aReason) {
               observer_.OnClientClosed(aReason);
             })
  , links_(aLoop.Base(),
           settings_.entry,
           NewIncarnation(),
           control_,
           controlExchange_,
           dispatcher_)
  , store_(aLoop,
           settings_.process.storeAddress,
           [this](wire::StoreStatus aStatus) {
             observer_.OnStoreCall(wire::StoreStatusName(aStatus));
           })
  , operatorFeed_(
      aLoop,
      store_,
      wire::kOperatorTable,
      kOperatorFeedTimeout,
      [this](const wire::TableFeed::Rows& aRows, std::uint64_t aRevision) {
        controlExchange_.Adopt(
          wire::DecodeOperatorRows(aRows, aRevision), "store", MonotonicNow());
      },
      [](bool aIsReachable) {
        Log::Write(aIsReachable ? Event::TableAvailable
                                : Event::TableUnavailable);
      })
  , memberFeed_(
      aLoop,
      store_,
      kMembersTable,
      kMemberFeedTimeout,
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
      loop_.Base(), { aAddress }, clients_, std::move(aHandler));
    return server.IsError() ? nullptr : server.ReleaseValue();
  };
  frontServer_ = serve(settings_.frontAddress,
                       [this](Exchange aExchange) { OnRequest(aExchange); });
  readinessServer_ =
    serve(settings_.readinessAddress,
          [this](Exchange aExchange) { OnReadiness(aExchange); });
  if (!settings_.process.metricsAddress.empty()) {
    metricsServer_ =
      serve(settings_.process.metricsAddress,
            [this](Exchange aExchange) { OnMetrics(aExchange); });
  }
  bool hasMetricsServer =
    settings_.process.metricsAddress.empty() || metricsServer_;
  bool isListening = frontServer_ && readinessServer_ && hasMetricsServer &&
                     !links_.Listen(settings_.linkAddress).IsError();
  if (!isListening) {
    return false;
  }
  auto now = MonotonicNow();
  startupHold_.Begin(now);
  dispatcher_.BeginWarmUp(now);
  operatorFeed_.Start();
  memberFeed_.Start();
  RegisterAsMember();
  loop_.RunEvery(kTickInterval, [this] { OnTick(); });
  loop_.RunEvery(kRegistrationInterval, [this] { RegisterAsMember(); });
  Log::Write(Event::ProcessStarted,
             { { "failure_domain", settings_.failureDomain.Value() } });
  return true;
}

void
JobEntry::RegisterAsMember()
{
  if (isMember_ || isStopping_) {
    return;
  }
  store_.Put(kMembersTable,
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
    HoldUntilConfigured(aExchange);
    return;
  }
  Serve(aExchange, aExchange->ReceivedAt());
}

void
JobEntry::HoldUntilConfigured(const Exchange& aExchange)
{
  if (!startupHold_.MayHold(heldRequests_.size(), MonotonicNow())) {
    Reject(aExchange, "no_configuration");
    return;
  }
  heldRequests_.push_back({ aExchange, aExchange->ReceivedAt() });
}

void
JobEntry::ServeHeldRequests(MonotonicTime aNow)
{
  auto heldRequests = std::move(heldRequests_);
  heldRequests_.clear();
  for (const auto& request : heldRequests) {
    if (control_.IsKnown()) {
      Serve(request.exchange, request.arrival);
    } else if (startupHold_.IsOver(request.arrival, aNow)) {
      Reject(request.exchange, "no_configuration");
    } else {
      heldRequests_.push_back(request);
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
    OnNewJob(aExchange, *route, aArrival);
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
  OnExistingJob(aExchange, *id);
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
JobEntry::OnExistingJob(const Exchange& aExchange, const SubmissionId& aJob)
{
  bool isDelete = aExchange->Request().method == service::HttpMethod::Delete;
  bool isKnown = isDelete ? dispatcher_.Cancel(aJob, MonotonicNow())
                          : dispatcher_.IsServing(aJob);
  Send(*aExchange, isKnown ? wire::RunningJobReply() : wire::NoSuchJobReply());
}

void
JobEntry::OnNewJob(const Exchange& aExchange,
                   const protocol::RouteRow& aRoute,
                   MonotonicTime aArrival)
{
  const auto& request = aExchange->Request();
  auto id = wire::ParseJobId(request.path, aRoute.pathPrefix);
  if (!id) {
    Send(*aExchange, wire::NoSuchQueueReply());
    return;
  }
  auto parsed = wire::ParseJob(aExchange->TakeBody());
  if (parsed.IsError()) {
    observer_.OnRejectedUnparsed(
      "job", id->Value(), wire::JobProblemName(parsed.Error()));
    Send(*aExchange, wire::ReplyFor(parsed.Error()));
    return;
  }
  auto job = parsed.ReleaseValue();
  job.id = *id;
  job.route = aRoute;
  job.arrival = aArrival;
  job.deadline =
    aArrival +
    CallerTimeout(aExchange->Header(wire::kDeadlineHeader), aRoute.timeoutMs);
  if (!CanFinishBeforeStop(job) && !dispatcher_.MayRun(*id)) {
    Reject(aExchange, "stopping");
    return;
  }
  WaiterId waiter(nextWaiter_++);
  aExchange->OnCallerDisconnected([this, waiter, id = *id, aArrival] {
    observer_.OnCallerGone(id, ElapsedSince(aArrival));
    waiters_.erase(waiter);
    dispatcher_.OnWaiterDisconnected(id, waiter);
  });
  waiters_.emplace(waiter, aExchange);
  dispatcher_.Submit(std::move(job), waiter, MonotonicNow());
}

bool
JobEntry::CanFinishBeforeStop(const job::JobRequest& aJob) const
{
  return !isStopping_ || aJob.Goal() <= stopDeadline_;
}

void
JobEntry::Reject(const Exchange& aExchange, std::string_view aReason)
{
  constexpr Milliseconds kRetryAfter{ 1000 };
  observer_.OnRejectedUnparsed("path", aExchange->Request().path, aReason);
  Send(*aExchange, wire::RejectionReply(aReason, kRetryAfter));
}

void
JobEntry::Answer(WaiterId aWaiter,
                 const job::JobRequest& aJob,
                 const job::JobAnswer& aAnswer)
{
  auto reply = wire::ReplyFor(aAnswer);
  observer_.OnAnswered(aJob, aAnswer, reply.status, ElapsedSince(aJob.arrival));
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

bool
JobEntry::IsCallerConnected(WaiterId aWaiter)
{
  auto found = waiters_.find(aWaiter);
  return found != waiters_.end() && !found->second->IsCallerDisconnected();
}

void
JobEntry::ScheduleWake()
{
  loop_.RunAfter(kWakeDelay, [this] { dispatcher_.OnWake(MonotonicNow()); });
}

void
JobEntry::OnReadiness(const Exchange& aExchange)
{
  bool isReady = control_.IsKnown() &&
                 dispatcher_.HasUsableUpstream(MonotonicNow()) && !isStopping_;
  aExchange->Reply(isReady ? kStatusOk : kStatusUnavailable, "{}");
}

void
JobEntry::OnMetrics(const Exchange& aExchange)
{
  if (aExchange->Request().path != "/metrics") {
    aExchange->Reply(kStatusNotFound, "{}");
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
  aExchange->Reply(kStatusOk,
                   observer_.FormatMetrics({ links_.LinkCount(),
                                             waiters_.size(),
                                             clients_.Count(),
                                             control_.Current().version.Value(),
                                             age(controlExchange_.AdoptedAt()),
                                             upstreamAge }));
}

void
JobEntry::OnTick()
{
  auto now = MonotonicNow();
  dispatcher_.OnTick(now);
  if (!heldRequests_.empty()) {
    ServeHeldRequests(now);
  }
  links_.OnTick(now);
  if (now - lastCallerCheckAt_ >= kCallerCheckInterval) {
    lastCallerCheckAt_ = now;
    frontServer_->DropDisconnectedCallers();
    clients_.ReleaseClosed();
  }
  if (isStopping_) {
    CheckStop(now);
  }
  Log::Flush();
}

void
JobEntry::BeginStop()
{
  if (isStopping_) {
    return;
  }
  Log::Write(Event::ProcessStopping);
  isStopping_ = true;
  stopStartedAt_ = MonotonicNow();
  stopDeadline_ = stopStartedAt_ + settings_.process.grace - kStopMargin;
  frontServer_->CloseConnectionsAfterReply();
  store_.Remove(
    kMembersTable, settings_.entry.Value(), [](wire::StoreStatus) {});
}

void
JobEntry::CheckStop(MonotonicTime aNow)
{
  bool isPastDeadline = aNow > stopDeadline_;
  bool isDone = aNow - stopStartedAt_ > kMinStopDuration && waiters_.empty();
  if (!isPastDeadline && !isDone) {
    return;
  }
  if (!isDone) {
    Log::Write(Event::StopBoundReached);
    dispatcher_.AbandonAll(aNow);
  }
  // The last answers are sent in one more iteration of the event loop.
  loop_.RunAfter(kTickInterval, [this] { loop_.Stop(); });
}

}
