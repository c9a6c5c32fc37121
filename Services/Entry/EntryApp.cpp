#include "Services/Entry/EntryApp.h"

#include "LibCore/Log.h"
#include "LibDispatch/LearnedRouting.h"
#include "LibDispatch/RandomRouting.h"
#include "LibDispatch/SubmissionParser.h"
#include "LibPlatform/HttpObjectStore.h"
#include "LibPlatform/HttpTableService.h"
#include "LibService/StatusPages.h"

#include <nlohmann/json.hpp>

namespace vanillaworks::entry {

namespace {
constexpr Milliseconds kTick{ 20 };
constexpr Milliseconds kWatchDelay{ 200 };
constexpr Milliseconds kSpreadBound{ 2000 };
constexpr int kStatusOk = 200;
constexpr int kStatusAccepted = 202;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;
constexpr const char* kJson = "application/json";
constexpr std::string_view kSubmissions = "/v1/submissions/";
constexpr std::string_view kDecisions = "/decisions";

Incarnation
NewIncarnation()
{
  return Incarnation(static_cast<std::uint64_t>(
    std::chrono::duration_cast<Microseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count()));
}

std::unique_ptr<dispatch::RoutingPolicy>
MakeRouting(const EntrySettings& aSettings)
{
  if (aSettings.policy == Policy::Random) {
    return std::make_unique<dispatch::RandomRouting>(aSettings.seed);
  }
  return std::make_unique<dispatch::LearnedRouting>(aSettings.seed);
}
}

EntryApp::EntryApp(EntrySettings aSettings, service::EventLoop& aLoop)
  : settings_(std::move(aSettings))
  , loop_(aLoop)
  , dispatcher_({ settings_.entry, NewIncarnation() },
                settings_.dispatcher,
                MakeRouting(settings_),
                configuration_,
                *this)
  , links_(settings_, aLoop.Base(), configuration_, metrics_, *this)
  , starts_(metrics_.Counter("vanillaworks_starts_total"))
  , latency_(metrics_.Latency("vanillaworks_answer_seconds"))
{
}

EntryApp::~EntryApp()
{
  http_.reset();
  control_.reset();
  patches_.reset();
  table_.reset();
}

std::unique_ptr<platform::TableService>
EntryApp::MakeTable(double aShare) const
{
  constexpr double kBurst = 20;
  return std::make_unique<platform::HttpTableService>(
    settings_.tableUrl,
    settings_.tableTimeout,
    platform::RateLimiter(settings_.readsPerSecond * aShare, kBurst),
    platform::RateLimiter(settings_.writesPerSecond * aShare, kBurst));
}

bool
EntryApp::Start()
{
  // Claims get most of the budget; polls, renewals and patches are few.
  constexpr double kClaimShare = 0.9;
  constexpr double kControlShare = 0.05;
  if (links_.Listen().IsError()) {
    return false;
  }
  table_ = std::make_unique<TableWorker>(
    MakeTable(kClaimShare),
    std::make_unique<platform::HttpObjectStore>(settings_.objectsUrl,
                                                settings_.tableTimeout),
    settings_.keeper,
    [this](bool aIsAvailable) {
      loop_.Post([this, aIsAvailable] { OnTableAvailability(aIsAvailable); });
    });
  patches_ = std::make_unique<PatchWorker>(MakeTable(kControlShare));
  control_ = std::make_unique<ControlWorker>(
    MakeTable(kControlShare),
    ControlOptions{ settings_.entry,
                    dispatcher_.Self().incarnation,
                    settings_.advertisedAddress,
                    settings_.poll,
                    settings_.renewal },
    [this](ControlSnapshot aSnapshot) {
      loop_.Post([this, snapshot = std::move(aSnapshot)]() mutable {
        OnSnapshot(std::move(snapshot));
      });
    });
  auto http = service::HttpServer::Create(
    { settings_.httpAddress, settings_.httpThreads, settings_.maxBodyBytes },
    *this);
  if (http.IsError()) {
    return false;
  }
  http_ = http.ReleaseValue();
  loop_.RunEvery(kTick, [this] { OnTick(); });
  Log::Write(Event::ProcessStarted,
             { { "entry", settings_.entry.Value() },
               { "incarnation",
                 std::to_string(dispatcher_.Self().incarnation.Value()) } });
  return true;
}

void
EntryApp::BeginStop()
{
  if (stopping_) {
    return;
  }
  Log::Write(Event::ProcessStopping);
  stopping_ = true;
  ready_ = false;
  stopAt_ = MonotonicNow() + settings_.stopBound;
  dispatcher_.BeginStop();
}

void
EntryApp::CheckStop(MonotonicTime aNow)
{
  bool isDone = dispatcher_.IsDrained() && spreading_.empty();
  if (!stopping_ || (!isDone && aNow < stopAt_)) {
    return;
  }
  if (!isDone) {
    Log::Write(Event::StopBoundReached);
  }
  stopAt_ = aNow + settings_.stopBound;
  // An agent that stops too must not wait for us.
  links_.FlushAcknowledgements();
  control_->Leave();
  // The last answers leave on the server's threads.
  loop_.RunAfter(kTick * 2, [this] { loop_.Stop(); });
  stopping_ = false;
}

void
EntryApp::OnTick()
{
  auto now = MonotonicNow();
  dispatcher_.OnTick(now);
  links_.OnTick(now);
  AnswerSpreadPatches(now);
  CheckFence();
  UpdateGauges();
  CheckStop(now);
  Log::Flush();
}

void
EntryApp::CheckFence()
{
  if (!dispatcher_.IsFenced()) {
    return;
  }
  auto incarnation = NewIncarnation();
  Log::Write(Event::Reincarnated,
             { { "incarnation", std::to_string(incarnation.Value()) } });
  links_.CloseAll();
  registering_.clear();
  control_->SetIncarnation(incarnation);
  dispatcher_.Reincarnate(incarnation, MonotonicNow());
}

void
EntryApp::OnSnapshot(ControlSnapshot aSnapshot)
{
  if (aSnapshot.configuration) {
    links_.Adopt(std::move(*aSnapshot.configuration));
  }
  auto& members = dispatcher_.Members();
  members.Observe(aSnapshot.members, aSnapshot.startedAt);
  links_.OnTableRead(aSnapshot.startedAt, aSnapshot.members);
  for (const auto& row : members.Forgettable(MonotonicNow())) {
    Log::Write(Event::EntryMemberLapsed,
               { { "entry", row.identity.entry.Value() } });
    control_->Forget(row);
  }
  auto fence = aSnapshot.fences.find(settings_.entry);
  if (fence != aSnapshot.fences.end() &&
      fence->second >= dispatcher_.Self().incarnation) {
    dispatcher_.MarkFenced();
  }
  ready_ = !stopping_;
}

void
EntryApp::OnTableAvailability(bool aIsAvailable)
{
  Log::Write(aIsAvailable ? Event::TableAvailable : Event::TableUnavailable);
  if (!aIsAvailable) {
    metrics_.Counter("vanillaworks_table_errors_total").Increment();
  }
}

const dispatch::EntryIdentity&
EntryApp::Self() const
{
  return dispatcher_.Self();
}

std::vector<protocol::TaskKey>
EntryApp::OnAgentHello(const protocol::AgentHello& aHello)
{
  Log::Write(Event::UpstreamAnnounced,
             { { "upstream", aHello.upstream.Value() },
               { "failure_domain", aHello.domain.Value() } });
  return dispatcher_.OnAgentHello(aHello, MonotonicNow());
}

void
EntryApp::OnAgentReady(const protocol::AgentHello& aHello)
{
  if (!aHello.registered && !aHello.stopping) {
    Register(aHello, false);
  }
  dispatcher_.OnAgentReady(aHello.upstream, MonotonicNow());
}

void
EntryApp::Register(const protocol::AgentHello& aHello, bool aGone)
{
  auto& registering = registering_[aHello.upstream];
  if (registering == aHello.incarnation && !aGone) {
    return;
  }
  registering = aHello.incarnation;
  platform::TableOperation operation;
  operation.self = dispatcher_.Self();
  operation.request =
    platform::RegisterOperation{ aHello.upstream, aHello.incarnation, aGone };
  operation.onRegister =
    [this, aHello, aGone](platform::RegisterOutcome aOutcome) {
      if (aGone) {
        return;
      }
      loop_.Post([this, aHello, outcome = std::move(aOutcome)] {
        registering_.erase(aHello.upstream);
        links_.SendToAgent(aHello.upstream,
                           protocol::Registered{ outcome.fences });
        dispatcher_.OnAgentRegistered(
          aHello.upstream, aHello.incarnation, MonotonicNow());
      });
    };
  table_->Add(std::move(operation));
}

void
EntryApp::OnAgentFrame(const UpstreamId& aUpstream,
                       const protocol::Frame& aFrame)
{
  const auto* goodbye = std::get_if<protocol::Goodbye>(&aFrame.message);
  if (goodbye && goodbye->drained) {
    const auto& all = dispatcher_.Upstreams().All();
    auto record = all.find(aUpstream);
    if (record != all.end()) {
      Log::Write(Event::UpstreamDrained, { { "upstream", aUpstream.Value() } });
      Register(record->second.hello, true);
    }
  }
  dispatcher_.OnAgentFrame(aUpstream, aFrame, MonotonicNow());
  CheckFence();
}

void
EntryApp::OnAgentDown(const UpstreamId& aUpstream)
{
  Log::Write(Event::UpstreamLost, { { "upstream", aUpstream.Value() } });
  registering_.erase(aUpstream);
  dispatcher_.OnAgentDown(aUpstream, MonotonicNow());
}

bool
EntryApp::HasOutstanding(const UpstreamId& aUpstream) const
{
  const auto& all = dispatcher_.Upstreams().All();
  auto record = all.find(aUpstream);
  return record != all.end() && !record->second.outstanding.empty();
}

void
EntryApp::OnConfigurationAdopted()
{
  dispatcher_.OnConfiguration(MonotonicNow());
}

void
EntryApp::SendToAgent(const UpstreamId& aUpstream, protocol::Message aMessage)
{
  if (std::holds_alternative<protocol::Start>(aMessage)) {
    starts_.Increment();
  }
  links_.SendToAgent(aUpstream, std::move(aMessage));
}

void
EntryApp::Acknowledge(const UpstreamId& aUpstream, std::uint64_t aResult)
{
  links_.Acknowledge(aUpstream, aResult);
}

std::function<void(dispatch::ClaimOutcome)>
EntryApp::ClaimCallback(const SubmissionId& aSubmission, bool aIsRecord)
{
  return [this, aSubmission, aIsRecord](dispatch::ClaimOutcome aOutcome) {
    loop_.Post([this, aSubmission, aIsRecord, outcome = std::move(aOutcome)] {
      if (aIsRecord) {
        dispatcher_.OnRecorded(aSubmission, outcome, MonotonicNow());
      } else {
        dispatcher_.OnClaim(aSubmission, outcome, MonotonicNow());
      }
    });
  };
}

void
EntryApp::Claim(const SubmissionId& aSubmission,
                const std::string& aDigest,
                WallTime aDeadline)
{
  table_->Add({ dispatcher_.Self(),
                platform::ClaimOperation{ aSubmission, aDigest, aDeadline },
                ClaimCallback(aSubmission, false),
                {} });
}

void
EntryApp::Watch(const SubmissionId& aSubmission)
{
  table_->Add({ dispatcher_.Self(),
                platform::PollClaimOperation{ aSubmission },
                ClaimCallback(aSubmission, false),
                {} },
              kWatchDelay);
}

void
EntryApp::TakeOver(const SubmissionId& aSubmission,
                   const std::string& aDigest,
                   const dispatch::EntryIdentity& aOwner,
                   WallTime aDeadline)
{
  Log::Write(Event::TakeoverBegun,
             { { "submission", aSubmission.Value() },
               { "owner", aOwner.entry.Value() } });
  metrics_.Counter("vanillaworks_takeovers_total").Increment();
  table_->Add(
    { dispatcher_.Self(),
      platform::TakeOverOperation{ aSubmission, aDigest, aDeadline, aOwner },
      ClaimCallback(aSubmission, false),
      {} });
}

void
EntryApp::Record(const dispatch::Answer& aAnswer,
                 const std::string& aDigest,
                 WallTime aDeadline)
{
  table_->Add({ dispatcher_.Self(),
                platform::RecordOperation{ aAnswer, aDigest, aDeadline },
                ClaimCallback(aAnswer.submission, true),
                {} });
}

void
EntryApp::Deliver(WaiterId aWaiter, const dispatch::Answer& aAnswer)
{
  auto found = waiters_.find(aWaiter);
  if (found == waiters_.end()) {
    return;
  }
  metrics_
    .Counter("vanillaworks_answers_total",
             "state",
             std::string(AnswerStateName(aAnswer.state)))
    .Increment();
  if (aAnswer.state == dispatch::AnswerState::NotRun) {
    CountRefusal(AnswerReasonName(aAnswer.reason));
  }
  std::chrono::duration<double> took = MonotonicNow() - found->second.since;
  latency_.Observe(took.count());
  Send(found->second.replier, ReplyForAnswer(aAnswer));
  waiters_.erase(found);
}

void
EntryApp::CountRetry(dispatch::RetryReason aReason)
{
  metrics_
    .Counter("vanillaworks_retries_total",
             "reason",
             std::string(RetryReasonName(aReason)))
    .Increment();
}

void
EntryApp::CountRefusal(std::string_view aReason)
{
  metrics_
    .Counter("vanillaworks_refusals_total", "reason", std::string(aReason))
    .Increment();
}

void
EntryApp::Send(const Replier& aReplier, const ApiReply& aReply)
{
  aReplier->Reply(aReply.status, aReply.body, kJson);
}

void
EntryApp::OnRequest(service::HttpRequest aRequest, Replier aReplier)
{
  using service::HttpMethod;
  const auto& path = aRequest.path;
  bool isGet = aRequest.method == HttpMethod::Get;
  bool isPost = aRequest.method == HttpMethod::Post;
  if (isPost && path == "/v1/submissions") {
    return OnSubmissionRequest(aRequest.body, false, std::move(aReplier));
  }
  if (isPost && path == "/v1/requests") {
    return OnSubmissionRequest(aRequest.body, true, std::move(aReplier));
  }
  if (path.starts_with(kSubmissions)) {
    return OnSubmissionPath(aRequest, std::move(aReplier));
  }
  if (isPost && path == "/v1/configuration/patches") {
    return OnPatchRequest(aRequest.body, std::move(aReplier));
  }
  if (isGet && path == "/v1/configuration") {
    return loop_.Post([this, replier = std::move(aReplier)] {
      auto current = configuration_.Current();
      VersionStanding standing{ links_.IsFresh(MonotonicNow()),
                                links_.Members(),
                                links_.MembersWith(current->version) };
      Send(replier, ReplyForConfiguration(*current, standing));
    });
  }
  if (isGet && path == "/v1/upstreams") {
    return loop_.Post([this, replier = std::move(aReplier)] {
      Send(replier,
           ReplyForUpstreams(dispatcher_.Upstreams(),
                             *configuration_.Current(),
                             MonotonicNow()));
    });
  }
  auto readiness =
    ready_ ? service::Readiness::Ready : service::Readiness::NotReady;
  if (service::AnswerStatusPage(aRequest, readiness, metrics_, aReplier)) {
    return;
  }
  Send(aReplier, ReplyForError(kStatusNotFound, "no_such_path"));
}

void
EntryApp::OnSubmissionRequest(const std::string& aBody,
                              bool aIsSingle,
                              Replier aReplier)
{
  auto now = WallNow();
  auto parsed = aIsSingle
                  ? dispatch::ParseSingleRequest(aBody, settings_.request, now)
                  : dispatch::ParseSubmission(aBody, settings_.request, now);
  if (parsed.IsError()) {
    CountRefusal(RequestProblemName(parsed.Error().kind));
    return Send(aReplier, ReplyForProblem(parsed.Error()));
  }
  loop_.Post([this,
              request = parsed.ReleaseValue(),
              replier = std::move(aReplier)]() mutable {
    Submit(std::move(request), std::move(replier));
  });
}

void
EntryApp::Submit(dispatch::SubmissionRequest aRequest, Replier aReplier)
{
  WaiterId waiter(nextWaiter_++);
  auto now = MonotonicNow();
  auto id = aRequest.id;
  bool isClaimed = aRequest.durability == dispatch::Durability::Claimed;
  waiters_[waiter] = { std::move(aReplier), now };
  auto result = dispatcher_.Submit(std::move(aRequest), waiter, WallNow(), now);
  if (result == dispatch::SubmitResult::Accepted) {
    return;
  }
  if (result == dispatch::SubmitResult::DigestMismatch) {
    auto replier = std::move(waiters_[waiter].replier);
    waiters_.erase(waiter);
    CountRefusal("digest_mismatch");
    return Send(replier, ReplyForError(kStatusConflict, "digest_mismatch"));
  }
  auto reason = result == dispatch::SubmitResult::Stopping
                  ? dispatch::AnswerReason::Stopping
                  : dispatch::AnswerReason::Overloaded;
  // A claimed submission may be a resubmission of what runs elsewhere, so
  // only one that has never had an id is known not to have run.
  auto state = isClaimed ? dispatch::AnswerState::MayHaveRun
                         : dispatch::AnswerState::NotRun;
  Deliver(waiter, { id, state, reason, {} });
}

void
EntryApp::OnSubmissionPath(const service::HttpRequest& aRequest,
                           Replier aReplier)
{
  using service::HttpMethod;
  auto rest = aRequest.path.substr(kSubmissions.size());
  if (aRequest.method == HttpMethod::Delete) {
    return loop_.Post([this, id = SubmissionId(rest), aReplier] {
      bool isKnown = dispatcher_.Cancel(id, MonotonicNow());
      // FIXME: Pass the cancellation on to the entry that owns the claim.
      Send(aReplier,
           isKnown ? ReplyForError(kStatusAccepted, "cancelling")
                   : ReplyForError(kStatusNotFound, "not_known_here"));
    });
  }
  if (aRequest.method != HttpMethod::Get) {
    return Send(aReplier, ReplyForError(kStatusNotFound, "no_such_path"));
  }
  if (rest.ends_with(kDecisions)) {
    rest.resize(rest.size() - kDecisions.size());
    return loop_.Post([this, id = SubmissionId(rest), aReplier] {
      const auto* submission = dispatcher_.Find(id);
      Send(aReplier,
           submission ? ReplyForDecisions(*submission)
                      : ReplyForError(kStatusNotFound, "not_known_here"));
    });
  }
  loop_.Post([this, id = SubmissionId(rest), aReplier] {
    const auto* submission = dispatcher_.Find(id);
    if (!submission) {
      return LookUp(id, aReplier);
    }
    bool hasEnded = submission->phase == dispatch::SubmissionPhase::Ended &&
                    !submission->unconfirmed;
    Send(aReplier,
         hasEnded ? ReplyForAnswer(submission->answer)
                  : ReplyForRunning(*submission));
  });
}

void
EntryApp::LookUp(const SubmissionId& aSubmission, Replier aReplier)
{
  platform::TableOperation operation;
  operation.self = dispatcher_.Self();
  operation.request = platform::PollClaimOperation{ aSubmission };
  operation.onClaim = [this, aReplier](dispatch::ClaimOutcome aOutcome) {
    if (const auto* recorded =
          std::get_if<dispatch::ClaimRecorded>(&aOutcome)) {
      return Send(aReplier, ReplyForAnswer(recorded->answer));
    }
    const auto* held = std::get_if<dispatch::ClaimHeld>(&aOutcome);
    if (!held) {
      return Send(aReplier, ReplyForError(kStatusNotFound, "unknown"));
    }
    loop_.Post([this, owner = held->owner, aReplier] {
      // Nobody finishes a lost entry's submission before it is submitted
      // again; until then the caller learns that it may have run.
      bool isLost = dispatcher_.Members().IsLapsed(owner);
      Send(aReplier,
           ReplyForError(kStatusAccepted, isLost ? "owner_lost" : "running"));
    });
  };
  table_->Add(std::move(operation));
}

void
EntryApp::OnPatchRequest(const std::string& aBody, Replier aReplier)
{
  auto request = ParsePatchRequest(aBody);
  if (!request) {
    return Send(aReplier,
                ReplyForError(kStatusBadRequest, "not_a_patch_request"));
  }
  patches_->Apply(request->base,
                  std::move(request->patch),
                  [this, aReplier](platform::PatchOutcome aOutcome) {
                    loop_.Post([this, aReplier, outcome = std::move(aOutcome)] {
                      OnPatchOutcome(outcome, aReplier);
                    });
                  });
}

void
EntryApp::OnPatchOutcome(const platform::PatchOutcome& aOutcome,
                         Replier aReplier)
{
  const auto* applied = std::get_if<platform::PatchApplied>(&aOutcome);
  if (!applied) {
    Log::Write(Event::PatchRefused);
    CountRefusal("patch");
    return Send(aReplier, ReplyForPatchFailure(aOutcome));
  }
  auto version = applied->document.version;
  Log::Write(Event::PatchAccepted,
             { { "version", std::to_string(version.Value()) } });
  links_.Adopt(applied->document);
  spreading_.push_back(
    { version, std::move(aReplier), MonotonicNow() + kSpreadBound });
  AnswerSpreadPatches(MonotonicNow());
}

void
EntryApp::AnswerSpreadPatches(MonotonicTime aNow)
{
  std::erase_if(spreading_, [this, aNow](const SpreadingPatch& aPatch) {
    auto agents = links_.AgentsWithout(aPatch.version);
    auto members = links_.MembersWith(aPatch.version);
    bool isMajority = members >= links_.Majority();
    bool isEverywhere =
      isMajority && agents.empty() && members >= links_.Members();
    if (!isEverywhere && aNow < aPatch.until) {
      return false;
    }
    nlohmann::json body{ { "version", aPatch.version.Value() },
                         { "in_force", isMajority && agents.empty() },
                         { "entries_with_version", members },
                         { "entries", links_.Members() },
                         { "agents_without_version", agents.size() } };
    bool inForce = isMajority && agents.empty();
    Send(aPatch.replier,
         { inForce ? kStatusOk : kStatusAccepted, body.dump() + "\n" });
    return true;
  });
}

void
EntryApp::UpdateGauges()
{
  auto gauge = [this](const char* aName, auto aValue) {
    metrics_.Gauge(aName).Set(static_cast<double>(aValue));
  };
  gauge("vanillaworks_in_flight", dispatcher_.UnfinishedTasks());
  gauge("vanillaworks_queued", dispatcher_.Queued());
  gauge("vanillaworks_remembered", dispatcher_.Remembered());
  gauge("vanillaworks_links", links_.UpLinks());
  gauge("vanillaworks_table_pending", table_->Pending());
  gauge("vanillaworks_configuration_version",
        configuration_.Current()->version.Value());
  auto total = [this](const char* aName, std::uint64_t aTotal) {
    auto& counter = metrics_.Counter(aName);
    counter.Increment(static_cast<double>(aTotal) - counter.Value());
  };
  const auto& hub = links_.Hub();
  total("vanillaworks_frames_sent_total", hub.FramesSent());
  total("vanillaworks_frames_received_total", hub.FramesReceived());
  total("vanillaworks_bytes_sent_total", hub.BytesSent());
  total("vanillaworks_bytes_received_total", hub.BytesReceived());
}

}
