#include "programs/entry/entry.h"

#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "modules/net/socket_options.h"
#include "programs/program.h"

namespace chicory {

namespace {

/** Number of instances in each data centre that watch the object API. */
constexpr size_t kWatchersPerDataCentre = 2;

/** How long an instance that shuts down still takes requests. Meanwhile it
    reports that it is not ready and closes each connection after its next
    response, so that the balancer and the callers move to other instances. */
constexpr absl::Duration kBalancerGracePeriod = absl::Seconds(2);

/** Time for the announcement of leaving to reach the peers. */
constexpr absl::Duration kLeaveGracePeriod = absl::Milliseconds(1500);

constexpr absl::Duration kDrainPollInterval = absl::Milliseconds(20);

constexpr size_t kBytesPerMegabyte = 1 << 20;

/** Returns a function that logs and counts the connections of an API that end
    for the sake of others. */
std::function<void(const MemoryBudget::Eviction&)> EndLogger(
    const char* api,
    Counters* counters) {
  return [api, counters](const MemoryBudget::Eviction& eviction) {
    counters->Add(
        absl::StrCat("chicory_closed_callers_total{api=\"", api, "\"}"));
    LogEvent(Severity::kWarning, "caller_closed",
             {{"api", api},
              {"caller", IpText(eviction.client)},
              {"held", absl::StrCat(eviction.held_bytes)},
              {"progress", absl::StrCat(eviction.progress_bytes)},
              {"age", absl::FormatDuration(eviction.age)}});
  };
}

/** Returns a function that logs the requests to an API whose head cannot be
    read. */
std::function<void(uint32_t, int, const std::string&)> MalformedLogger(
    const char* api) {
  return [api](uint32_t client, int status, const std::string& reason) {
    LogEvent(Severity::kWarning, "request_malformed",
             {{"api", api},
              {"caller", IpText(client)},
              {"status", absl::StrCat(status)},
              {"reason", reason}});
  };
}

HttpApiServer::Options CallerServerOptions(const CheckedRow& settings,
                                           SharedMemoryBudget* memory,
                                           Counters* counters) {
  return {
      .listen = settings.text("listen"),
      .max_threads = static_cast<size_t>(settings.integer("max_threads")),
      .max_body_bytes = static_cast<size_t>(settings.integer("max_body_bytes")),
      .memory = memory,
      .on_ended = EndLogger("callers", counters),
      .on_malformed = MalformedLogger("callers")};
}

HttpApiServer::Options OperatorServerOptions(const CheckedRow& settings,
                                             SharedMemoryBudget* memory,
                                             Counters* counters) {
  return {.listen = settings.text("operators_listen"),
          .max_threads = 16,
          .memory = memory,
          .on_ended = EndLogger("operators", counters),
          .on_malformed = MalformedLogger("operators")};
}

}  // namespace

SectionRule Entry::SettingsRule() {
  using Type = ValueType;
  SectionRule rule{"settings", false, "Settings of an entry instance.", {}};
  rule.keys = {
      {"instance", Type::kText, "", true, "", 1, 64, "",
       "Name of the instance; unique in the fleet."},
      {"data_centre", Type::kText, "", true, "", 1, 64, "",
       "Data centre of the instance."},
      {"listen", Type::kText, "", false, "127.0.0.1:0", 1, 64, "",
       "Address for callers, ip:port; port 0 lets the kernel choose."},
      {"operators_listen", Type::kText, "", false, "127.0.0.1:0", 1, 64, "",
       "Address for operators, ip:port."},
      {"peers_listen", Type::kText, "", false, "127.0.0.1:0", 1, 64, "",
       "Address for the other instances, ip:port."},
      {"object_api", Type::kText, "", true, "", 1, 64, "",
       "Address of the platform's object API, ip:port."},
      {"seeds", Type::kTextList, "", false, "", 0, 64, "",
       "Instances to contact first, each NAME@ip:port."},
      {"peer_key", Type::kText, "", false, "", 0, 256, "",
       "Key shared by all instances; if empty, peers are not authenticated."},
      {"max_threads", Type::kInteger, "threads", false, "512", 8, 8192, "",
       "Maximum number of connections served at the same time."},
      {"max_body_bytes", Type::kInteger, "bytes", false, "8388608", 1024,
       67108864, "", "Maximum size of a request body."},
      {"memory_mb", Type::kInteger, "MB", false, "0", 0, 16777216, "",
       "Memory that the process may use; three eighths of it are for bodies of "
       "requests and incomplete responses. 0 if it is unknown, which counts as "
       "112."},
      {"gossip_period", Type::kDuration, "s", false, "1s", 0.05, 10, "",
       "Time between two gossip exchanges with peers."},
      {"configuration_poll", Type::kDuration, "s", false, "60s", 0.1, 3600, "",
       "Mean time between two reads of the index by an instance that does "
       "not watch it."},
      {"once_retention", Type::kDuration, "s", false, "24h", 60, 2592000, "",
       "How long the idempotency record of an at-most-once call is valid."}};
  for (const KeyRule& common : CommonSettings())
    rule.keys.push_back(common);
  return rule;
}

Entry::Entry(const CheckedRow& settings)
    : settings_(settings),
      instance_(settings.text("instance")),
      incarnation_(static_cast<uint64_t>(absl::ToUnixMillis(absl::Now()))),
      timeline_(instance_),
      memory_(MemoryBudget::MaxBytesFor(
          static_cast<size_t>(settings.integer("memory_mb")) *
          kBytesPerMegabyte)),
      store_({.address = settings.text("object_api"),
              .timeout = absl::Seconds(1)}),
      client_(&memory_),
      broker_({.instance = instance_, .incarnation = incarnation_},
              &client_,
              &counters_,
              &timeline_),
      rate_limiter_(instance_),
      at_most_once_runner_({.retention = settings.duration("once_retention")},
                           &store_,
                           &timeline_),
      configuration_publisher_(&store_),
      configuration_watcher_(
          {.poll_interval = settings.duration("configuration_poll")},
          &store_,
          [this] {
            bool is_watcher = false;
            peers_.Inspect([&](const GossipNode& gossip) {
              is_watcher = gossip.IsWatcher(kWatchersPerDataCentre);
            });
            return is_watcher;
          }),
      peers_({.gossip = {.instance = instance_,
                         .data_centre = settings.text("data_centre"),
                         .incarnation = incarnation_},
              .listen = settings.text("peers_listen"),
              .shared_key = settings.text("peer_key"),
              .period = settings.duration("gossip_period")},
             this),
      upstream_watcher_(
          {.instance = instance_, .incarnation = incarnation_},
          {.owner_state =
               [this](const AttemptId& id) { return OwnerStateOf(id); },
           .live_instances = [this] { return LiveInstances(); },
           .on_entry_instance =
               [this](const InstanceRecord& record) {
                 peers_.AddSeed(record.name, record.address,
                                record.data_centre);
               }},
          &store_,
          &client_,
          &broker_,
          &counters_,
          &timeline_),
      caller_api_({.instance = instance_,
                   .configuration_watcher = &configuration_watcher_,
                   .rate_limiter = &rate_limiter_,
                   .broker = &broker_,
                   .client = &client_,
                   .at_most_once = &at_most_once_runner_,
                   .counters = &counters_,
                   .timeline = &timeline_}),
      operator_api_({.instance = instance_,
                     .configuration_watcher = &configuration_watcher_,
                     .broker = &broker_,
                     .peers = &peers_,
                     .publisher = &configuration_publisher_,
                     .counters = &counters_,
                     .timeline = &timeline_,
                     .is_ready = [this] { return IsReady(); }}),
      caller_server_(CallerServerOptions(settings, &memory_, &counters_)),
      operator_server_(OperatorServerOptions(settings, &memory_, &counters_)) {
  configuration_watcher_.set_listener(
      [this](const ConfigurationWatcher::Snapshot& snapshot) {
        OnConfigurationInForce(snapshot);
      });
  broker_.set_sinks(
      [this](uint64_t fingerprint, uint32_t deaths) {
        peers_.Spread({.kind = GossipUpdateKind::kCrashCount,
                       .subject = absl::StrCat(fingerprint),
                       .origin = instance_,
                       .version = 1,
                       .value = deaths});
      },
      [this](const std::string& name, UpstreamState state) {
        peers_.Spread(
            {.kind = GossipUpdateKind::kUpstream,
             .subject = name,
             .version = static_cast<uint64_t>(absl::ToUnixMillis(absl::Now())),
             .value = static_cast<int64_t>(state)});
      });
}

Entry::~Entry() {
  caller_server_.Stop();
  operator_server_.Stop();
  upstream_watcher_.Stop();
  configuration_watcher_.Stop();
  at_most_once_runner_.Stop();
  broker_.Stop();
  peers_.Stop();
}

Result<void> Entry::Start() {
  timeline_.Record(absl::Now(), TimelineEventKind::kProcessStarted, "",
                   {{"version", kVersion}});
  if (!peers_.Start()) {
    return Fail(ErrorCode::kUnavailable,
                "cannot bind " + settings_.text("peers_listen"));
  }
  rate_limiter_.SetMembers({instance_});
  for (const std::string& seed : settings_.text_list("seeds")) {
    const size_t at = seed.find('@');
    if (at != std::string::npos)
      peers_.AddSeed(seed.substr(0, at), seed.substr(at + 1), "");
  }
  broker_.Start();
  at_most_once_runner_.Start();
  configuration_watcher_.Start();
  upstream_watcher_.Start();
  caller_api_.AddRoutes(&caller_server_.routes());
  operator_api_.AddRoutes(&operator_server_.routes());
  BOOST_LEAF_AUTO(callers, caller_server_.Start());
  BOOST_LEAF_AUTO(operators, operator_server_.Start());
  addresses_ = {{"callers", callers},
                {"operators", operators},
                {"peers", peers_.address()}};
  LogEvent(Severity::kInfo, "started",
           {{"instance", instance_},
            {"callers", callers},
            {"operators", operators},
            {"peers", peers_.address()}});
  return {};
}

void Entry::Stop() {
  LogEvent(Severity::kInfo, "stopping", {{"instance", instance_}});
  timeline_.Record(absl::Now(), TimelineEventKind::kProcessStopping, "", {});
  is_stopping_ = true;
  caller_server_.Drain();
  absl::SleepFor(kBalancerGracePeriod);
  caller_api_.RefuseNewRequests();
  while (broker_.in_flight() > 0)
    absl::SleepFor(kDrainPollInterval);
  caller_server_.Stop();
  upstream_watcher_.Stop();
  configuration_watcher_.Stop();
  at_most_once_runner_.Stop();
  broker_.Stop();
  peers_.Leave();
  absl::SleepFor(kLeaveGracePeriod);
  peers_.Stop();
  operator_server_.Stop();
  LogEvent(Severity::kInfo, "stopped", {{"instance", instance_}});
}

bool Entry::IsReady() const {
  return !is_stopping_ && configuration_watcher_.Current() != nullptr;
}

void Entry::OnConfigurationInForce(
    const ConfigurationWatcher::Snapshot& snapshot) {
  const uint64_t revision = snapshot->index.revision;
  broker_.RunOnDispatcher([&](Dispatcher& dispatcher, absl::Time) {
    dispatcher.OnRetryRules(snapshot->configuration.retries);
  });
  peers_.SetConfigurationRevision(revision);
  counters_.Set("chicory_configuration_revision",
                static_cast<double>(revision));
  timeline_.Record(absl::Now(), TimelineEventKind::kConfigurationInForce, "",
                   {{"revision", absl::StrCat(revision)},
                    {"change_id", snapshot->index.change_id}});
  LogEvent(Severity::kInfo, "configuration_in_force",
           {{"revision", absl::StrCat(revision)}});
}

void Entry::OnMember(const MemberRow& member) {
  rate_limiter_.SetMembers(LiveInstances());
  timeline_.Record(
      absl::Now(), TimelineEventKind::kPeerState, "",
      {{"peer", member.name}, {"state", MemberStateName(member.state)}});
  LogEvent(Severity::kInfo, "peer_state",
           {{"peer", member.name}, {"state", MemberStateName(member.state)}});
}

void Entry::OnGossipUpdate(const GossipUpdate& update) {
  broker_.RunOnDispatcher([&](Dispatcher& dispatcher, absl::Time now) {
    if (update.kind == GossipUpdateKind::kUpstream) {
      const auto state = static_cast<UpstreamState>(update.value);
      if (state == UpstreamState::kLeaving)
        dispatcher.OnUpstreamState(update.subject, state);
      return;
    }
    uint64_t fingerprint = 0;
    if (absl::SimpleAtoi(update.subject, &fingerprint)) {
      dispatcher.OnDeathCountReceived(fingerprint, update.origin,
                                      static_cast<uint32_t>(update.value), now);
    }
  });
}

std::string Entry::ConfigurationIndexJson() {
  const auto snapshot = configuration_watcher_.Current();
  return snapshot == nullptr ? "" : snapshot->index_json;
}

std::string Entry::ConfigurationBlob(const std::string& name) {
  const auto snapshot = configuration_watcher_.Current();
  if (snapshot == nullptr)
    return "";
  auto found = snapshot->blobs.find(name);
  return found == snapshot->blobs.end() ? "" : found->second;
}

void Entry::OnConfiguration(const std::string& index_json,
                            std::map<std::string, std::string> blobs) {
  configuration_watcher_.ApplyIfNewer(index_json, std::move(blobs));
}

std::map<std::string, std::vector<AccountDemand>> Entry::TakeDemands() {
  return rate_limiter_.TakeDemands();
}

std::vector<AccountGrant> Entry::OnDemands(
    const std::string& from,
    const std::vector<AccountDemand>& demands) {
  const auto snapshot = configuration_watcher_.Current();
  if (snapshot == nullptr)
    return {};
  return rate_limiter_.OnDemands(from, demands, snapshot->configuration);
}

void Entry::OnGrants(const std::vector<AccountGrant>& grants) {
  rate_limiter_.OnGrants(grants);
}

std::vector<std::string> Entry::LiveInstances() const {
  std::vector<std::string> names;
  peers_.Inspect([&](const GossipNode& gossip) { names = gossip.LiveNames(); });
  return names;
}

OwnerState Entry::OwnerStateOf(const AttemptId& attempt) const {
  OwnerState state = OwnerState::kNeverSeen;
  peers_.Inspect([&](const GossipNode& gossip) {
    const MemberRow* row = gossip.Find(attempt.instance);
    if (row == nullptr || row->version == 0)
      return;
    const uint64_t incarnation = IncarnationOf(row->version);
    if (incarnation > attempt.incarnation ||
        (incarnation == attempt.incarnation &&
         row->state == MemberState::kLeft)) {
      state = OwnerState::kGone;
    } else if (row->state == MemberState::kDead) {
      state = OwnerState::kSilent;
    } else {
      state = OwnerState::kAlive;
    }
  });
  return state;
}

}  // namespace chicory
