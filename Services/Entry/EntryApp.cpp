#include "Services/Entry/EntryApp.h"

#include "LibCore/Log.h"
#include "LibDispatch/LearnedRouting.h"
#include "LibDispatch/RandomRouting.h"
#include "LibDispatch/SubmissionParser.h"
#include "LibPlatform/HttpObjectStore.h"
#include "LibPlatform/HttpTableService.h"
#include "LibService/ClientClosures.h"
#include "LibService/StatusEndpoints.h"

#include <nlohmann/json.hpp>

namespace vanillaworks::entry {

namespace {
constexpr Milliseconds kTickInterval{ 20 };
constexpr Milliseconds kClaimPollDelay{ 200 };
constexpr Milliseconds kPropagationTimeout{ 2000 };
constexpr int kStatusOk = 200;
constexpr int kStatusAccepted = 202;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;
constexpr const char* kJsonContentType = "application/json";
constexpr std::string_view kSubmissionsPrefix = "/v1/submissions/";
constexpr std::string_view kDecisionsSuffix = "/decisions";

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
                settings_.dispatcherLimits,
                MakeRouting(settings_),
                configuration_,
                *this)
  , links_(settings_, aLoop.Base(), configuration_, metrics_, *this)
  , starts_(metrics_.Counter("vanillaworks_starts_total"))
  , latency_(metrics_.LatencyHistogram("vanillaworks_answer_seconds"))
{
}

EntryApp::~EntryApp()
{
  httpServer_.reset();
  controlWorker_.reset();
  patchWorker_.reset();
  tableWorker_.reset();
}

std::unique_ptr<platform::TableService>
EntryApp::MakeTable(double aRateShare) const
{
  constexpr double kBurst = 20;
  return std::make_unique<platform::HttpTableService>(
    settings_.tableUrl,
    settings_.tableTimeout,
    platform::RateLimiter(settings_.readsPerSecond * aRateShare, kBurst),
    platform::RateLimiter(settings_.writesPerSecond * aRateShare, kBurst));
}

bool
EntryApp::Start()
{
  // Claims get most of the table's rate limit, as polls, renewals and patches
  // are rare.
  constexpr double kClaimRateShare = 0.9;
  constexpr double kControlRateShare = 0.05;
  if (links_.Listen().IsError()) {
    return false;
  }
  tableWorker_ = std::make_unique<TableWorker>(
    MakeTable(kClaimRateShare),
    std::make_unique<platform::HttpObjectStore>(settings_.objectsUrl,
                                                settings_.tableTimeout),
    settings_.claimLimits,
    [this](bool aIsAvailable) {
      loop_.Post(
        [this, aIsAvailable] { OnTableAvailabilityChanged(aIsAvailable); });
    });
  patchWorker_ = std::make_unique<PatchWorker>(MakeTable(kControlRateShare));
  controlWorker_ = std::make_unique<ControlWorker>(
    MakeTable(kControlRateShare),
    ControlOptions{ settings_.entry,
                    dispatcher_.Self().incarnation,
                    settings_.advertisedAddress,
                    settings_.pollInterval,
                    settings_.renewalInterval },
    [this](ControlSnapshot aSnapshot) {
      loop_.Post([this, snapshot = std::move(aSnapshot)]() mutable {
        OnSnapshot(std::move(snapshot));
      });
    });
  auto http = service::HttpServer::Create(
    { settings_.httpAddress,
      settings_.httpThreads,
      settings_.maxBodyBytes,
      settings_.clientLimits,
      [this](service::ClientCloseReason aReason) {
        service::RecordClosedClient(metrics_, aReason);
      } },
    *this);
  if (http.IsError()) {
    return false;
  }
  httpServer_ = http.ReleaseValue();
  loop_.RunEvery(kTickInterval, [this] { OnTick(); });
  Log::Write(Event::ProcessStarted,
             { { "entry", settings_.entry.Value() },
               { "incarnation",
                 std::to_string(dispatcher_.Self().incarnation.Value()) } });
  return true;
}

void
EntryApp::BeginStop()
{
  if (isStopping_) {
    return;
  }
  Log::Write(Event::ProcessStopping);
  isStopping_ = true;
  isReady_ = false;
  stopDeadline_ = MonotonicNow() + settings_.stopTimeout;
  dispatcher_.BeginStop();
}

void
EntryApp::CheckStop(MonotonicTime aNow)
{
  bool isDone = dispatcher_.IsDrained() && propagatingPatches_.empty();
  if (!isStopping_ || (!isDone && aNow < stopDeadline_)) {
    return;
  }
  if (!isDone) {
    Log::Write(Event::StopBoundReached);
  }
  stopDeadline_ = aNow + settings_.stopTimeout;
  // An agent that is stopping as well must not wait for this entry's
  // acknowledgements.
  links_.FlushAcknowledgements();
  controlWorker_->Leave();
  // The delay lets the HTTP server's threads send the last answers.
  loop_.RunAfter(kTickInterval * 2, [this] { loop_.Stop(); });
  isStopping_ = false;
}

void
EntryApp::OnTick()
{
  auto now = MonotonicNow();
  dispatcher_.OnTick(now);
  links_.OnTick(now);
  AnswerPropagatedPatches(now);
  StartNewIncarnationIfFenced();
  UpdateGauges();
  CheckStop(now);
  Log::Flush();
}

void
EntryApp::StartNewIncarnationIfFenced()
{
  if (!dispatcher_.IsFenced()) {
    return;
  }
  auto incarnation = NewIncarnation();
  Log::Write(Event::Reincarnated,
             { { "incarnation", std::to_string(incarnation.Value()) } });
  links_.CloseAll();
  registeringIncarnations_.clear();
  controlWorker_->SetIncarnation(incarnation);
  dispatcher_.StartNewIncarnation(incarnation, MonotonicNow());
}

void
EntryApp::OnSnapshot(ControlSnapshot aSnapshot)
{
  if (aSnapshot.configuration) {
    links_.Adopt(std::move(*aSnapshot.configuration));
  }
  auto& members = dispatcher_.Members();
  members.Observe(aSnapshot.members, aSnapshot.readSentAt);
  links_.OnTableRead(aSnapshot.readSentAt, aSnapshot.members);
  for (const auto& row : members.RemovableRows(MonotonicNow())) {
    Log::Write(Event::EntryMemberLapsed,
               { { "entry", row.identity.entry.Value() } });
    controlWorker_->DeleteLapsedMember(row);
  }
  auto fence = aSnapshot.fences.find(settings_.entry);
  if (fence != aSnapshot.fences.end() &&
      fence->second >= dispatcher_.Self().incarnation) {
    dispatcher_.MarkFenced();
  }
  isReady_ = !isStopping_;
}

void
EntryApp::OnTableAvailabilityChanged(bool aIsAvailable)
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
EntryApp::Register(const protocol::AgentHello& aHello, bool aIsGone)
{
  auto& registering = registeringIncarnations_[aHello.upstream];
  if (registering == aHello.incarnation && !aIsGone) {
    return;
  }
  registering = aHello.incarnation;
  platform::TableOperation operation;
  operation.self = dispatcher_.Self();
  operation.request =
    platform::RegisterOperation{ aHello.upstream, aHello.incarnation, aIsGone };
  operation.onRegister =
    [this, aHello, aIsGone](platform::RegisterOutcome aOutcome) {
      if (aIsGone) {
        return;
      }
      loop_.Post([this, aHello, outcome = std::move(aOutcome)] {
        registeringIncarnations_.erase(aHello.upstream);
        links_.SendToAgent(aHello.upstream,
                           protocol::Registered{ outcome.fences });
        dispatcher_.OnAgentRegistered(
          aHello.upstream, aHello.incarnation, MonotonicNow());
      });
    };
  tableWorker_->Add(std::move(operation));
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
  StartNewIncarnationIfFenced();
}

void
EntryApp::OnAgentDown(const UpstreamId& aUpstream)
{
  Log::Write(Event::UpstreamLost, { { "upstream", aUpstream.Value() } });
  registeringIncarnations_.erase(aUpstream);
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
EntryApp::MakeClaimCallback(const SubmissionId& aSubmission, bool aIsRecord)
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
  tableWorker_->Add(
    { dispatcher_.Self(),
      platform::ClaimOperation{ aSubmission, aDigest, aDeadline },
      MakeClaimCallback(aSubmission, false),
      {} });
}

void
EntryApp::PollClaim(const SubmissionId& aSubmission)
{
  tableWorker_->Add({ dispatcher_.Self(),
                      platform::PollClaimOperation{ aSubmission },
                      MakeClaimCallback(aSubmission, false),
                      {} },
                    kClaimPollDelay);
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
  tableWorker_->Add(
    { dispatcher_.Self(),
      platform::TakeOverOperation{ aSubmission, aDigest, aDeadline, aOwner },
      MakeClaimCallback(aSubmission, false),
      {} });
}

void
EntryApp::Record(const dispatch::Answer& aAnswer,
                 const std::string& aDigest,
                 WallTime aDeadline)
{
  tableWorker_->Add({ dispatcher_.Self(),
                      platform::RecordOperation{ aAnswer, aDigest, aDeadline },
                      MakeClaimCallback(aAnswer.submission, true),
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
  std::chrono::duration<double> elapsed = MonotonicNow() - found->second.since;
  latency_.Observe(elapsed.count());
  Send(found->second.responder, ReplyForAnswer(aAnswer));
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
EntryApp::Send(const Responder& aResponder, const ApiReply& aReply)
{
  aResponder->Reply(aReply.status, aReply.body, kJsonContentType);
}

void
EntryApp::OnRequest(service::HttpRequest aRequest, Responder aResponder)
{
  using service::HttpMethod;
  const auto& path = aRequest.path;
  bool isGet = aRequest.method == HttpMethod::Get;
  bool isPost = aRequest.method == HttpMethod::Post;
  if (isPost && path == "/v1/submissions") {
    return OnSubmissionRequest(aRequest.body, false, std::move(aResponder));
  }
  if (isPost && path == "/v1/requests") {
    return OnSubmissionRequest(aRequest.body, true, std::move(aResponder));
  }
  if (path.starts_with(kSubmissionsPrefix)) {
    return OnSubmissionPath(aRequest, std::move(aResponder));
  }
  if (isPost && path == "/v1/configuration/patches") {
    return OnPatchRequest(aRequest.body, std::move(aResponder));
  }
  if (isGet && path == "/v1/configuration") {
    return loop_.Post([this, responder = std::move(aResponder)] {
      auto current = configuration_.Current();
      VersionStatus status{ links_.IsFresh(MonotonicNow()),
                            links_.MemberCount(),
                            links_.CountMembersWith(current->version) };
      Send(responder, ReplyForConfiguration(*current, status));
    });
  }
  if (isGet && path == "/v1/upstreams") {
    return loop_.Post([this, responder = std::move(aResponder)] {
      Send(responder,
           ReplyForUpstreams(dispatcher_.Upstreams(),
                             *configuration_.Current(),
                             MonotonicNow()));
    });
  }
  auto readiness =
    isReady_ ? service::Readiness::Ready : service::Readiness::NotReady;
  if (service::AnswerStatusRequest(aRequest, readiness, metrics_, aResponder)) {
    return;
  }
  Send(aResponder, ReplyForError(kStatusNotFound, "no_such_path"));
}

void
EntryApp::OnSubmissionRequest(const std::string& aBody,
                              bool aIsSingle,
                              Responder aResponder)
{
  auto now = WallNow();
  auto parsed =
    aIsSingle
      ? dispatch::ParseSingleRequest(aBody, settings_.requestLimits, now)
      : dispatch::ParseSubmission(aBody, settings_.requestLimits, now);
  if (parsed.IsError()) {
    CountRefusal(RequestProblemName(parsed.Error().kind));
    return Send(aResponder, ReplyForProblem(parsed.Error()));
  }
  loop_.Post([this,
              request = parsed.ReleaseValue(),
              responder = std::move(aResponder)]() mutable {
    Submit(std::move(request), std::move(responder));
  });
}

void
EntryApp::Submit(dispatch::SubmissionRequest aRequest, Responder aResponder)
{
  WaiterId waiter(nextWaiter_++);
  auto now = MonotonicNow();
  auto id = aRequest.id;
  bool isClaimed = aRequest.durability == dispatch::Durability::Claimed;
  waiters_[waiter] = { std::move(aResponder), now };
  auto result = dispatcher_.Submit(std::move(aRequest), waiter, WallNow(), now);
  if (result == dispatch::SubmitResult::Accepted) {
    return;
  }
  if (result == dispatch::SubmitResult::DigestMismatch) {
    auto responder = std::move(waiters_[waiter].responder);
    waiters_.erase(waiter);
    CountRefusal("digest_mismatch");
    return Send(responder, ReplyForError(kStatusConflict, "digest_mismatch"));
  }
  auto reason = result == dispatch::SubmitResult::Stopping
                  ? dispatch::AnswerReason::Stopping
                  : dispatch::AnswerReason::Overloaded;
  // A claimed submission may be a resubmission of one that is running on
  // another entry. Only a submission that never had an id is known not to have
  // run.
  auto state = isClaimed ? dispatch::AnswerState::MayHaveRun
                         : dispatch::AnswerState::NotRun;
  Deliver(waiter, { id, state, reason, {} });
}

void
EntryApp::OnSubmissionPath(const service::HttpRequest& aRequest,
                           Responder aResponder)
{
  using service::HttpMethod;
  auto rest = aRequest.path.substr(kSubmissionsPrefix.size());
  if (aRequest.method == HttpMethod::Delete) {
    return loop_.Post([this, id = SubmissionId(rest), aResponder] {
      bool isKnown = dispatcher_.Cancel(id, MonotonicNow());
      // FIXME: Forward the cancellation to the entry that owns the claim.
      Send(aResponder,
           isKnown ? ReplyForError(kStatusAccepted, "cancelling")
                   : ReplyForError(kStatusNotFound, "not_known_here"));
    });
  }
  if (aRequest.method != HttpMethod::Get) {
    return Send(aResponder, ReplyForError(kStatusNotFound, "no_such_path"));
  }
  if (rest.ends_with(kDecisionsSuffix)) {
    rest.resize(rest.size() - kDecisionsSuffix.size());
    return loop_.Post([this, id = SubmissionId(rest), aResponder] {
      const auto* submission = dispatcher_.Find(id);
      Send(aResponder,
           submission ? ReplyForDecisions(*submission)
                      : ReplyForError(kStatusNotFound, "not_known_here"));
    });
  }
  loop_.Post([this, id = SubmissionId(rest), aResponder] {
    const auto* submission = dispatcher_.Find(id);
    if (!submission) {
      return LookUpClaim(id, aResponder);
    }
    bool hasEnded = submission->phase == dispatch::SubmissionPhase::Ended &&
                    !submission->isUnconfirmed;
    Send(aResponder,
         hasEnded ? ReplyForAnswer(submission->answer)
                  : ReplyForRunning(*submission));
  });
}

void
EntryApp::LookUpClaim(const SubmissionId& aSubmission, Responder aResponder)
{
  platform::TableOperation operation;
  operation.self = dispatcher_.Self();
  operation.request = platform::PollClaimOperation{ aSubmission };
  operation.onClaim = [this, aResponder](dispatch::ClaimOutcome aOutcome) {
    if (const auto* recorded =
          std::get_if<dispatch::ClaimRecorded>(&aOutcome)) {
      return Send(aResponder, ReplyForAnswer(recorded->answer));
    }
    const auto* held = std::get_if<dispatch::ClaimHeld>(&aOutcome);
    if (!held) {
      return Send(aResponder, ReplyForError(kStatusNotFound, "unknown"));
    }
    loop_.Post([this, owner = held->owner, aResponder] {
      // A submission of a lost entry is finished only after it is submitted
      // again. Until then the caller is told that it may have run.
      bool isLost = dispatcher_.Members().IsLapsed(owner);
      Send(aResponder,
           ReplyForError(kStatusAccepted, isLost ? "owner_lost" : "running"));
    });
  };
  tableWorker_->Add(std::move(operation));
}

void
EntryApp::OnPatchRequest(const std::string& aBody, Responder aResponder)
{
  auto request = ParsePatchRequest(aBody);
  if (!request) {
    return Send(aResponder,
                ReplyForError(kStatusBadRequest, "not_a_patch_request"));
  }
  patchWorker_->Apply(request->base,
                      std::move(request->patch),
                      [this, aResponder](platform::PatchOutcome aOutcome) {
                        loop_.Post(
                          [this, aResponder, outcome = std::move(aOutcome)] {
                            OnPatchOutcome(outcome, aResponder);
                          });
                      });
}

void
EntryApp::OnPatchOutcome(const platform::PatchOutcome& aOutcome,
                         Responder aResponder)
{
  const auto* applied = std::get_if<platform::PatchApplied>(&aOutcome);
  if (!applied) {
    Log::Write(Event::PatchRefused);
    CountRefusal("patch");
    return Send(aResponder, ReplyForPatchFailure(aOutcome));
  }
  auto version = applied->document.version;
  Log::Write(Event::PatchAccepted,
             { { "version", std::to_string(version.Value()) } });
  links_.Adopt(applied->document);
  propagatingPatches_.push_back(
    { version, std::move(aResponder), MonotonicNow() + kPropagationTimeout });
  AnswerPropagatedPatches(MonotonicNow());
}

void
EntryApp::AnswerPropagatedPatches(MonotonicTime aNow)
{
  std::erase_if(
    propagatingPatches_, [this, aNow](const PropagatingPatch& aPatch) {
      auto agents = links_.AgentsWithout(aPatch.version);
      auto members = links_.CountMembersWith(aPatch.version);
      bool isMajority = members >= links_.MajoritySize();
      bool isEverywhere =
        isMajority && agents.empty() && members >= links_.MemberCount();
      if (!isEverywhere && aNow < aPatch.deadline) {
        return false;
      }
      nlohmann::json body{ { "version", aPatch.version.Value() },
                           { "in_force", isMajority && agents.empty() },
                           { "entries_with_version", members },
                           { "entries", links_.MemberCount() },
                           { "agents_without_version", agents.size() } };
      bool inForce = isMajority && agents.empty();
      Send(aPatch.responder,
           { inForce ? kStatusOk : kStatusAccepted, body.dump() + "\n" });
      return true;
    });
}

void
EntryApp::UpdateGauges()
{
  auto setGauge = [this](const char* aName, auto aValue) {
    metrics_.Gauge(aName).Set(static_cast<double>(aValue));
  };
  setGauge("vanillaworks_in_flight", dispatcher_.UnfinishedTasks());
  setGauge("vanillaworks_queued", dispatcher_.Queued());
  setGauge("vanillaworks_remembered", dispatcher_.RetainedCount());
  setGauge("vanillaworks_links", links_.LinkCount());
  setGauge("vanillaworks_table_pending", tableWorker_->Pending());
  setGauge("vanillaworks_configuration_version",
           configuration_.Current()->version.Value());
  auto setCounter = [this](const char* aName, std::uint64_t aTotal) {
    auto& counter = metrics_.Counter(aName);
    counter.Increment(static_cast<double>(aTotal) - counter.Value());
  };
  const auto& linkManager = links_.Manager();
  setCounter("vanillaworks_frames_sent_total", linkManager.FramesSent());
  setCounter("vanillaworks_frames_received_total",
             linkManager.FramesReceived());
  setCounter("vanillaworks_bytes_sent_total", linkManager.BytesSent());
  setCounter("vanillaworks_bytes_received_total", linkManager.BytesReceived());
}

}
