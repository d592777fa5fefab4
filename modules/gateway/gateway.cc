#include "modules/gateway/gateway.h"

#include <algorithm>
#include <array>
#include <utility>

#include "absl/cleanup/cleanup.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "modules/gateway/request_handler.h"
#include "modules/net/loop_time.h"

namespace chicory {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
/** Tick interval while no request waits for a placement. */
constexpr absl::Duration kIdleTick = absl::Milliseconds(250);
constexpr absl::Duration kHousekeepingInterval = absl::Seconds(1);
/** How long a stopping instance still accepts connections: the balancer checks
    readiness once a second and removes an instance after two failed checks. */
constexpr absl::Duration kBalancerGrace = absl::Milliseconds(2600);
constexpr absl::Duration kDrainPollInterval = absl::Milliseconds(50);
/** After this time without a request a connection closes: a caller that sends
    one request after another has sent its next one by then. */
constexpr absl::Duration kIdleBeforeClose = absl::Milliseconds(150);
/** A stop ends the requests that are still in flight this long before
    Options::stop_within has passed. */
constexpr absl::Duration kStopMargin = absl::Milliseconds(300);
/** How long their responses may take to be written. */
constexpr absl::Duration kStopFlushTime = absl::Milliseconds(100);
constexpr size_t kMaxAuxiliaryConnections = 64;
/** How long an instance that has started waits to learn the evacuated data
    centres before it uses upstreams. Others reply within milliseconds, the
    source somewhat later. */
constexpr absl::Duration kEvacuationsWait = absl::Milliseconds(500);

/** By HttpServer::ClosedState. */
constexpr std::array<const char*, 3> kClosedStateNames = {
    "idle", "partial_request", "unread_response"};

/** Responds to a request immediately with the result of a function. */
class ImmediateHandler : public HttpHandler {
 public:
  using Responder =
      std::function<std::pair<int, std::string>(const HttpRequest&)>;
  explicit ImmediateHandler(Responder responder)
      : responder_(std::move(responder)) {}
  void Start(HttpRequest request, ResponseWriter* writer) override {
    const auto [status, body] = responder_(request);
    writer->SendComplete(status, {}, body);
  }
  void OnCallerDisconnected() override {}

 private:
  Responder responder_;
};

}  // namespace

/** Logs and counts the connections of one listener that close for the sake of
    others, and logs the requests that it cannot read. */
class Gateway::LoggingDelegate : public HttpServer::Delegate {
 public:
  LoggingDelegate(Gateway* gateway, const char* listener)
      : gateway_(gateway), listener_(listener) {}
  void OnConnectionClosed(const MemoryBudget::Eviction& eviction,
                          HttpServer::ClosedState state) override {
    const char* const name = kClosedStateNames[static_cast<size_t>(state)];
    gateway_->metrics_.OnCallerClosed(name);
    gateway_->log_.Write("caller_closed",
                         {{"listener", listener_},
                          {"caller", IpText(eviction.client)},
                          {"state", name},
                          {"held", eviction.held_bytes},
                          {"progress", eviction.progress_bytes},
                          {"age_ms", absl::ToInt64Milliseconds(eviction.age)},
                          {"held_in_all", gateway_->memory_.used_bytes()},
                          {"max_held", gateway_->memory_.max_bytes()},
                          {"connections", gateway_->callers_.connections()}});
  }
  void OnMalformedRequest(uint32_t client,
                          int status,
                          const std::string& reason) override {
    gateway_->log_.Write("request_malformed", {{"listener", listener_},
                                               {"caller", IpText(client)},
                                               {"status", status},
                                               {"reason", reason}});
  }

 protected:
  Gateway* gateway_;

 private:
  const char* listener_;
};

/** Supplies a RequestHandler for each request of a caller. */
class Gateway::CallerDelegate : public Gateway::LoggingDelegate {
 public:
  explicit CallerDelegate(Gateway* gateway)
      : LoggingDelegate(gateway, "callers") {}
  std::shared_ptr<HttpHandler> NewHandler() override {
    if (!gateway_->state_.table)
      return gateway_->configuration_wait_.NewHandler();
    return std::make_shared<RequestHandler>(&gateway_->state_);
  }
  HttpServer::Limits limits() const override {
    const CallerLimits limits = gateway_->state_.table
                                    ? gateway_->state_.table->limits()
                                    : CallerLimits();
    return {.parser = {.max_header_bytes = limits.max_header_bytes,
                       .max_body_bytes = limits.max_body_bytes},
            .header_timeout = limits.header_timeout,
            .idle_timeout = limits.idle_timeout};
  }
};

/** Responds to the balancer's readiness checks. */
class Gateway::ReadyDelegate : public Gateway::LoggingDelegate {
 public:
  explicit ReadyDelegate(Gateway* gateway)
      : LoggingDelegate(gateway, "ready") {}
  std::shared_ptr<HttpHandler> NewHandler() override {
    return std::make_shared<ImmediateHandler>([this](const HttpRequest&) {
      return std::pair(gateway_->IsReady() ? kOk : kUnavailable, std::string());
    });
  }
  HttpServer::Limits limits() const override { return {}; }
};

/** Serves the metrics to operators. */
class Gateway::OperatorDelegate : public Gateway::LoggingDelegate {
 public:
  explicit OperatorDelegate(Gateway* gateway)
      : LoggingDelegate(gateway, "operators") {}
  std::shared_ptr<HttpHandler> NewHandler() override {
    return std::make_shared<ImmediateHandler>(
        [this](const HttpRequest& request) {
          if (request.path() != "/metrics")
            return std::pair(kNotFound, std::string());
          return std::pair(kOk, gateway_->Metrics());
        });
  }
  HttpServer::Limits limits() const override { return {}; }
};

Gateway::Gateway(boost::asio::io_context& loop,
                 Options options,
                 const WireCodec& codec,
                 EventLog& log,
                 GatewaySource* source)
    : options_(std::move(options)),
      source_(source),
      log_(log),
      memory_({.max_bytes = MemoryBudget::MaxBytesFor(options_.memory_bytes),
               .now = SteadyNow}),
      placement_(
          {.self = options_.peers.ip,
           .seeds = options_.seeds,
           .max_source_age = options_.max_source_age,
           .uses_directory = true,
           .uses_evacuations = options_.evacuate_within > absl::ZeroDuration(),
           .first_sequence = options_.first_sequence,
           .admission_control = options_.admission_control},
          this,
          this),
      source_watcher_(source,
                      &placement_.membership(),
                      log,
                      options_.refresh_interval,
                      options_.max_source_silence,
                      options_.evacuate_within > absl::ZeroDuration()),
      instance_directory_(source, &placement_.membership(), log),
      snapshot_server_(loop, metrics_, this),
      snapshot_fetcher_(
          loop,
          {.port = options_.peers.port, .seed = options_.first_sequence},
          placement_.membership(),
          log,
          metrics_,
          this),
      state_{
          .loop = loop,
          .codec = codec,
          .log = log,
          .metrics = metrics_,
          .table = nullptr,
          .upstreams = {},
          .announcements = {},
          .evacuations = {},
          .cold_upstreams = {},
          .cold_excess = options_.cold_excess,
          .cold_slack = options_.cold_slack,
          .ready_upstreams = {},
          .evacuated_upstreams = {},
          .upstreams_updated_at = absl::InfinitePast(),
          .pool = UpstreamPool(loop),
          .memory = &memory_,
          .retries = RetryWindow({.ratio = options_.retries.ratio,
                                  .slack = options_.retries.slack,
                                  .window = options_.retries.window,
                                  .started = SteadyNow()}),
          .placement = &placement_,
          .handlers = {},
          .requests = {},
          .drain =
              DrainPlan({.admit_for = kBalancerGrace,
                         .finish_within = options_.stop_within - kStopMargin}),
          .random =
              std::minstd_rand(static_cast<unsigned>(options_.first_sequence)),
          .on_request_waiting = [this] { ScheduleEarlyTick(); },
          .configuration_expected_in =
              [this] {
                return snapshot_fetcher_.plan().RetryAfter(SteadyNow());
              },
          .on_upstream_leaving = [this] { upstreams_changed_ = true; }},
      configuration_wait_(&state_, &snapshot_fetcher_.plan()),
      caller_delegate_(std::make_unique<CallerDelegate>(this)),
      ready_delegate_(std::make_unique<ReadyDelegate>(this)),
      operator_delegate_(std::make_unique<OperatorDelegate>(this)),
      callers_(loop,
               caller_delegate_.get(),
               options_.max_connections,
               &memory_),
      ready_(loop, ready_delegate_.get(), kMaxAuxiliaryConnections, &memory_),
      operators_(loop,
                 operator_delegate_.get(),
                 kMaxAuxiliaryConnections,
                 &memory_),
      metrics_listener_(loop,
                        operator_delegate_.get(),
                        kMaxAuxiliaryConnections,
                        &memory_),
      peers_(loop,
             [this](Endpoint sender, absl::string_view bytes) {
               const auto message = DecodePeerMessage(bytes);
               if (message && message->sender == sender.ip) {
                 snapshot_fetcher_.OnMessage(*message);
                 placement_.OnMessage(*message, SteadyNow());
               }
               ScheduleEarlyTick();
             }),
      tick_(loop),
      stop_timer_(loop) {
  state_.upstreams.SetRegions(options_.regions);
}

Gateway::~Gateway() = default;

Result<void> Gateway::Start() {
  BOOST_LEAF_CHECK(peers_.Open(options_.peers));
  BOOST_LEAF_CHECK(ready_.Listen(options_.ready));
  BOOST_LEAF_CHECK(operators_.Listen(options_.operators));
  BOOST_LEAF_CHECK(callers_.Listen(options_.callers));
  ListenForMetrics();
  started_at_ = SteadyNow();
  ListenForSnapshots();
  snapshot_fetcher_.plan().OnStarted(SteadyNow());
  source_->Start(this);
  Tick();
  return {};
}

void Gateway::ListenForMetrics() {
  if (options_.metrics.port == 0)
    return;
  const auto listening =
      Capture([this] { return metrics_listener_.Listen(options_.metrics); });
  if (!listening.ok)
    log_.Write("metrics_not_served", {{"reason", listening.error.message}});
}

bool Gateway::IsReady() const {
  return state_.table && has_upstreams_ && !state_.drain.has_begun();
}

void Gateway::OnConfiguration(RoutingTable::Options options) {
  OnSourceAnswered(SnapshotPlan::Part::kConfiguration);
  ApplyConfiguration(std::move(options), "source", absl::ZeroDuration());
}

void Gateway::ApplyConfiguration(RoutingTable::Options options,
                                 absl::string_view origin,
                                 absl::Duration age) {
  const uint64_t known = state_.table ? state_.table->version() : 0;
  if (options.version <= known) {
    log_.WriteDetail("configuration_ignored",
                     {{"version", options.version}, {"in_force", known}});
    return;
  }
  state_.table = std::make_shared<const RoutingTable>(std::move(options));
  placement_.membership().SetConfigurationVersion(state_.table->version());
  const std::vector<Service>& services = state_.table->services();
  const bool may_be_cold =
      std::any_of(services.begin(), services.end(), [](const Service& service) {
        return service.cold_requests_per_second > 0;
      });
  upstreams_changed_ |= has_upstreams_ && may_be_cold;
  for (const Service& service : state_.table->services()) {
    if (service.engine)
      placement_.SetEngine(service.name, *service.engine);
  }
  log_.Write("configuration_in_force",
             {{"version", state_.table->version()},
              {"before", known},
              {"routes", state_.table->routes().size()},
              {"source", origin},
              {"age_ms", absl::ToInt64Milliseconds(age)}});
  configuration_wait_.Release();
  AnnounceFirstContent();
}

bool Gateway::HasAwaitedEvacuations(absl::Time now) const {
  return options_.evacuate_within == absl::ZeroDuration() ||
         state_.evacuations.revision > 0 ||
         now - started_at_ >= kEvacuationsWait;
}

void Gateway::PublishUpstreams() {
  const absl::Time now = SteadyNow();
  // If it is too early, the next tick calls this function again.
  upstreams_changed_ = !HasAwaitedEvacuations(now);
  if (upstreams_changed_)
    return;
  has_upstreams_ = true;
  AnnounceFirstContent();
  placement_.SetUpstreams(state_.UpdateUsableUpstreams(now));
}

void Gateway::OnEvacuations(const Evacuations& evacuations) {
  if (placement_.SetEvacuations(evacuations, SteadyNow()))
    ApplyEvacuations("source");
}

void Gateway::OnPeerEvacuations(InstanceIp from) {
  ApplyEvacuations(IpText(from));
}

void Gateway::ApplyEvacuations(const std::string& origin) {
  const absl::Time now = SteadyNow();
  const Evacuations before =
      std::exchange(state_.evacuations, placement_.membership().evacuations());
  log_.Write(
      "evacuation_changed",
      {{"evacuated", absl::StrJoin(state_.evacuations.data_centres, ",")},
       {"before", absl::StrJoin(before.data_centres, ",")},
       {"revision", state_.evacuations.revision},
       {"revision_before", before.revision},
       {"age_ms", before.revision == 0
                      ? 0
                      : absl::ToInt64Milliseconds(now - evacuations_since_)},
       {"origin", origin}});
  evacuations_since_ = now;
  if (has_upstreams_ || upstreams_changed_)
    PublishUpstreams();
  for (const auto& request : RequestsInFlight())
    request->OnEvacuation();
}

void Gateway::OnUpstreams(const std::vector<UpstreamRecord>& upstreams,
                          uint64_t revision,
                          bool after_outage) {
  OnSourceAnswered(SnapshotPlan::Part::kUpstreams);
  // A peer's upstreams were needed because the source was away, so their
  // registrations may have lapsed although they run.
  after_outage = after_outage || has_peer_upstreams_;
  if (!RecordList(upstreams, revision, after_outage)) {
    log_.Write("upstreams_ignored",
               {{"revision", revision},
                {"known",
                 placement_.membership().upstream_changes().complete_until()}});
    return;
  }
  has_peer_upstreams_ = false;
  state_.upstreams_updated_at = SteadyNow();
  state_.upstreams.Replace(upstreams, after_outage,
                           state_.upstreams_updated_at);
  log_.Write("upstreams_listed", {{"listed", upstreams.size()},
                                  {"held", state_.upstreams.size()},
                                  {"revision", revision},
                                  {"after_outage", after_outage ? 1 : 0},
                                  {"source", "source"}});
  PublishUpstreams();
}

void Gateway::OnUpstreamChanges(const UpstreamBatch& batch) {
  confirmed_at_ = SteadyNow();
  if (placement_.membership().upstream_changes().Add(batch))
    ApplyUpstreams(batch, "source");
}

void Gateway::OnPeerUpstreamChanges(const UpstreamBatch& batch) {
  ApplyUpstreams(batch, "instance");
}

void Gateway::ApplyUpstreams(const UpstreamBatch& batch, const char* origin) {
  state_.upstreams_updated_at = SteadyNow();
  for (const UpstreamChange& change : batch.changes) {
    const UpstreamRecord& record = change.record;
    if (change.removed)
      state_.upstreams.Remove(record.id, batch.after_outage,
                              state_.upstreams_updated_at);
    else
      state_.upstreams.Put(record);
    const bool ready = record.state == RegistrationState::kReady;
    log_.Write("upstream_changed", {{"upstream", record.id},
                                    {"service", record.service},
                                    {"state", change.removed ? "gone"
                                              : ready        ? "ready"
                                                             : "draining"},
                                    {"revision", batch.to},
                                    {"origin", origin}});
  }
  if (!batch.changes.empty())
    PublishUpstreams();
}

void Gateway::OnSourceReachable(const std::string& source,
                                bool reachable,
                                const std::string& reason) {
  log_.Write(reachable ? "source_regained" : "source_lost",
             {{"source", source}, {"reason", reason}});
  source_watcher_.OnReachable(source, reachable);
  if (!reachable)
    snapshot_fetcher_.plan().OnSourceFailed();
}

void Gateway::OnInstances(const std::vector<InstanceIp>& instances) {
  instance_directory_.OnInstances(instances, SteadyNow());
}

void Gateway::OnSourceConfirmed(SourcePart part, absl::Time as_of) {
  source_watcher_.OnConfirmed(as_of);
  placement_.membership().OnSourceConfirmed(part, as_of);
}

void Gateway::OnInvalidInput(const std::string& what,
                             const std::string& reason) {
  log_.Write("input_unreadable", {{"what", what}, {"reason", reason}});
}

void Gateway::Send(InstanceIp to, const PeerMessage& message) {
  peers_.Send({.ip = to, .port = options_.peers.port},
              EncodePeerMessage(message));
}

void Gateway::OnDecision(const ScheduleDecision& decision,
                         InstanceIp scheduler) {
  auto found = state_.handlers.find(decision.key);
  if (found == state_.handlers.end())
    return;
  found->second->OnDecision(decision, scheduler);
}

void Gateway::OnNewerConfiguration(uint64_t version) {
  source_watcher_.OnNewerConfiguration(
      version, state_.table ? state_.table->version() : 0);
}

void Gateway::OnMissingUpstreamChange(uint64_t last_change) {
  snapshot_fetcher_.plan().OnMissingUpstreamChange(last_change);
  source_watcher_.OnMissingUpstreamChange(last_change);
}

void Gateway::SetSeeds(const std::vector<InstanceIp>& seeds) {
  placement_.membership().SetSeeds(seeds);
}

void Gateway::ScheduleTick() {
  is_ticking_fast_ = placement_.IsBusy() || snapshot_fetcher_.IsBusy() ||
                     placement_.membership().announces_content();
  const absl::Duration wait =
      is_ticking_fast_ ? PlacementNode::kTick : kIdleTick;
  tick_.expires_after(absl::ToChronoNanoseconds(wait));
  tick_.async_wait([this](const boost::system::error_code& error) {
    if (!error)
      Tick();
  });
}

void Gateway::ScheduleEarlyTick() {
  if (!is_ticking_fast_ && placement_.IsBusy())
    ScheduleTick();
}

void Gateway::Tick() {
  const absl::Cleanup schedule_next = [this] { ScheduleTick(); };
  const absl::Time now = SteadyNow();
  upstreams_changed_ |= state_.upstreams.Expire(now);
  upstreams_changed_ |= state_.announcements.Expire(now);
  if (upstreams_changed_)
    PublishUpstreams();
  placement_.Tick(now);
  source_watcher_.Tick(now);
  instance_directory_.Tick(now);
  snapshot_fetcher_.Tick(now);
  if (now >= next_housekeeping_) {
    next_housekeeping_ = now + kHousekeepingInterval;
    state_.pool.Expire(now);
    snapshot_server_.Expire(now);
    LogMembershipChange(now);
  }
  LogRefusals(now);
}

void Gateway::LogMembershipChange(absl::Time now) {
  const InstanceIp scheduler = placement_.membership().SchedulingInstance(now);
  const size_t live = placement_.membership().LiveInstances(now);
  if (scheduler == scheduling_instance_ && live == live_instances_)
    return;
  log_.Write("membership_changed", {{"scheduler", IpText(scheduler)},
                                    {"before", IpText(scheduling_instance_)},
                                    {"live_instances", live},
                                    {"live_before", live_instances_}});
  scheduling_instance_ = scheduler;
  live_instances_ = live;
}

void Gateway::LogRefusals(absl::Time now) {
  using Refusals = std::vector<CrashingParts::Refusal>;
  const Refusals& current = placement_.crashing_parts().Refusals(now);
  if (current == refusals_)
    return;
  const auto log_added = [this](const Refusals& refusals,
                                const Refusals& former, const char* of_request,
                                const char* of_parts) {
    for (const CrashingParts::Refusal& refusal : refusals) {
      if (std::find(former.begin(), former.end(), refusal) != former.end())
        continue;
      if (refusal.request != 0) {
        log_.Write(of_request,
                   {{"fingerprint", absl::StrCat(absl::Hex(refusal.request))}});
        continue;
      }
      log_.Write(of_parts, {{"parts", JoinParts(refusal.parts)}});
    }
  };
  log_added(current, refusals_, "request_repeats_refused",
            "prompt_parts_refused");
  log_added(refusals_, current, "request_repeats_allowed",
            "prompt_parts_allowed");
  refusals_ = current;
}

void Gateway::OnCallbackFailed(const std::exception& error) {
  metrics_.OnCallbackFailed();
  log_.Write("callback_failed", {{"reason", error.what()}});
}

std::string Gateway::Metrics() {
  const auto refused_requests = static_cast<size_t>(
      std::count_if(refusals_.begin(), refusals_.end(),
                    [](const CrashingParts::Refusal& refusal) {
                      return refusal.request != 0;
                    }));
  return metrics_.Exposition(
      {.in_flight = state_.requests.size(),
       .live_instances = placement_.membership().LiveInstances(SteadyNow()),
       .scheduler_waiting = placement_.scheduler().waiting(),
       .scheduler_running = placement_.scheduler().running(),
       .configuration_version = state_.table ? state_.table->version() : 0,
       .source_age = placement_.membership().SourceAge(SteadyNow()),
       .upstreams = state_.upstreams.size(),
       .refused_parts = refusals_.size() - refused_requests,
       .refused_requests = refused_requests,
       .limited_upstreams =
           placement_.scheduler().limits().limited(SteadyNow()),
       .cold_upstreams = placement_.scheduler().limits().cold(SteadyNow()),
       .cold_held_back = placement_.scheduler().limits().cold_held_back(),
       .evacuated_data_centres = state_.evacuations.data_centres.size(),
       .held_bytes = memory_.used_bytes(),
       .max_held_bytes = memory_.max_bytes(),
       .log_lines_dropped = log_.dropped()});
}

void Gateway::BeginStop(std::function<void()> done) {
  if (state_.drain.has_begun())
    return;
  const absl::Time now = SteadyNow();
  state_.drain.Begin(now);
  on_stopped_ = std::move(done);
  callers_.BeginDrain();
  placement_.Leave(now);
  instance_directory_.Leave();
  log_.Write("stopping", {{"in_flight", state_.requests.size()},
                          {"connections", callers_.connections()}});
  configuration_wait_.Release();
  ContinueStop();
}

std::vector<std::shared_ptr<RequestHandler>> Gateway::RequestsInFlight() const {
  std::vector<std::shared_ptr<RequestHandler>> requests;
  for (RequestHandler* request : state_.requests)
    requests.push_back(request->shared_from_this());
  return requests;
}

void Gateway::EndRequestsForStop(absl::Time now) {
  if (stop_flush_until_ != absl::InfiniteFuture())
    return;
  stop_flush_until_ = now + kStopFlushTime;
  const auto requests = RequestsInFlight();
  log_.Write("stop_time_over", {{"in_flight", requests.size()},
                                {"connections", callers_.connections()}});
  for (const auto& request : requests)
    request->EndForShutdown();
  callers_.RefusePartialRequests();
}

void Gateway::ContinueStop() {
  const absl::Time now = SteadyNow();
  const bool accepts = state_.drain.Admits(now);
  if (!accepts) {
    callers_.StopAccepting();
    callers_.CloseIdle(kIdleBeforeClose);
  }
  for (const auto& request : RequestsInFlight())
    request->OnDraining();
  if (state_.drain.IsOver(now))
    EndRequestsForStop(now);
  const bool drained = !accepts && callers_.connections() == 0;
  if (drained || now >= stop_flush_until_) {
    const HttpServer::Closures& closures = callers_.closures();
    log_.Write("stopped", {{"in_flight", state_.requests.size()},
                           {"connections", callers_.connections()},
                           {"idle_closed", closures.idle},
                           {"refused_in_part", closures.refused_in_part},
                           {"input_discarded", closures.input_discarded}});
    on_stopped_();
    return;
  }
  stop_timer_.expires_after(absl::ToChronoNanoseconds(kDrainPollInterval));
  stop_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error)
      ContinueStop();
  });
}

}  // namespace chicory
