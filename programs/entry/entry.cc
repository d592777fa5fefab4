#include "programs/entry/entry.h"

#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "programs/program.h"

namespace chicory {

namespace {

/** Watchers of the object API in each data centre. */
constexpr size_t kWatchersPerDataCentre = 2;

/** How long a planned stop still takes work while it says that it is not ready
    and closes each connection after its next answer, so that the balancer and
    the callers go elsewhere. */
constexpr absl::Duration kBalancerGrace = absl::Seconds(2);

/** How long a planned stop lets the peers hear of it. */
constexpr absl::Duration kLeaveGrace = absl::Milliseconds(1500);

constexpr absl::Duration kDrainPoll = absl::Milliseconds(20);

HttpApiServer::Options CallersOptions(const CheckedRow& settings) {
  return {.listen = settings.text("listen"),
          .max_threads = static_cast<size_t>(settings.integer("max_threads")),
          .max_body_bytes =
              static_cast<size_t>(settings.integer("max_body_bytes"))};
}

HttpApiServer::Options OperatorsOptions(const CheckedRow& settings) {
  return {.listen = settings.text("operators_listen"), .max_threads = 16};
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
       "Address for operators."},
      {"peers_listen", Type::kText, "", false, "127.0.0.1:0", 1, 64, "",
       "Address for the other instances."},
      {"object_api", Type::kText, "", true, "", 1, 64, "",
       "Address of the platform's object API."},
      {"seeds", Type::kTextList, "", false, "", 0, 64, "",
       "Instances to ask first, each NAME@ip:port."},
      {"peer_key", Type::kText, "", false, "", 0, 256, "",
       "Key that all instances share; without one peers are not checked."},
      {"max_threads", Type::kInteger, "threads", false, "512", 8, 8192, "",
       "Most connections served at a time."},
      {"max_body_bytes", Type::kInteger, "bytes", false, "8388608", 1024,
       67108864, "", "Largest request body."},
      {"gossip_period", Type::kDuration, "s", false, "1s", 0.05, 10, "",
       "Time between two exchanges with peers."},
      {"configuration_poll", Type::kDuration, "s", false, "60s", 0.1, 3600, "",
       "How often an instance that does not watch reads the index."},
      {"once_retention", Type::kDuration, "s", false, "24h", 60, 2592000, "",
       "How long the record of a call that may not be repeated is kept."}};
  for (const KeyRule& common : CommonSettings())
    rule.keys.push_back(common);
  return rule;
}

Entry::Entry(const CheckedRow& settings)
    : settings_(settings),
      instance_(settings.text("instance")),
      incarnation_(static_cast<uint64_t>(absl::ToUnixMillis(absl::Now()))),
      time_line_(instance_),
      store_({.address = settings.text("object_api"),
              .timeout = absl::Seconds(1)}),
      broker_({.instance = instance_, .incarnation = incarnation_},
              &client_,
              &counters_,
              &time_line_),
      gate_(instance_),
      once_({.retention = settings.duration("once_retention")},
            &store_,
            &time_line_),
      publisher_(&store_),
      keeper_({.poll_interval = settings.duration("configuration_poll")},
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
      watcher_({.instance = instance_, .incarnation = incarnation_},
               {.owner_state =
                    [this](const AttemptId& id) { return OwnerStateOf(id); },
                .live_instances = [this] { return LiveInstances(); },
                .on_entry =
                    [this](const InstanceRecord& record) {
                      peers_.AddSeed(record.name, record.address,
                                     record.data_centre);
                    }},
               &store_,
               &client_,
               &broker_,
               &counters_,
               &time_line_),
      caller_front_({.instance = instance_,
                     .configuration_watcher = &keeper_,
                     .rate_limiter = &gate_,
                     .broker = &broker_,
                     .client = &client_,
                     .at_most_once = &once_,
                     .counters = &counters_,
                     .time_line = &time_line_}),
      operators_front_({.instance = instance_,
                        .configuration_watcher = &keeper_,
                        .broker = &broker_,
                        .peers = &peers_,
                        .publisher = &publisher_,
                        .counters = &counters_,
                        .time_line = &time_line_,
                        .is_ready = [this] { return IsReady(); }}),
      callers_(CallersOptions(settings)),
      operators_(OperatorsOptions(settings)) {
  keeper_.set_listener([this](const ConfigurationWatcher::Snapshot& snapshot) {
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
  callers_.Stop();
  operators_.Stop();
  watcher_.Stop();
  keeper_.Stop();
  once_.Stop();
  broker_.Stop();
  peers_.Stop();
}

Result<void> Entry::Start() {
  time_line_.Record(absl::Now(), TimelineEventKind::kProcessStarted, "",
                    {{"version", kVersion}});
  if (!peers_.Start()) {
    return Fail(ErrorCode::kUnavailable,
                "cannot bind " + settings_.text("peers_listen"));
  }
  gate_.SetMembers({instance_});
  for (const std::string& seed : settings_.text_list("seeds")) {
    const size_t at = seed.find('@');
    if (at != std::string::npos)
      peers_.AddSeed(seed.substr(0, at), seed.substr(at + 1), "");
  }
  broker_.Start();
  once_.Start();
  keeper_.Start();
  watcher_.Start();
  caller_front_.AddRoutes(&callers_.routes());
  operators_front_.AddRoutes(&operators_.routes());
  BOOST_LEAF_AUTO(callers, callers_.Start());
  BOOST_LEAF_AUTO(operators, operators_.Start());
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
  time_line_.Record(absl::Now(), TimelineEventKind::kProcessStopping, "", {});
  is_stopping_ = true;
  callers_.Drain();
  absl::SleepFor(kBalancerGrace);
  caller_front_.RefuseNewRequests();
  while (broker_.in_flight() > 0)
    absl::SleepFor(kDrainPoll);
  callers_.Stop();
  watcher_.Stop();
  keeper_.Stop();
  once_.Stop();
  broker_.Stop();
  peers_.Leave();
  absl::SleepFor(kLeaveGrace);
  peers_.Stop();
  operators_.Stop();
  LogEvent(Severity::kInfo, "stopped", {{"instance", instance_}});
}

bool Entry::IsReady() const {
  return !is_stopping_ && keeper_.Current() != nullptr;
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
  time_line_.Record(absl::Now(), TimelineEventKind::kConfigurationInForce, "",
                    {{"revision", absl::StrCat(revision)},
                     {"change_id", snapshot->index.change_id}});
  LogEvent(Severity::kInfo, "configuration_in_force",
           {{"revision", absl::StrCat(revision)}});
}

void Entry::OnMember(const MemberRow& member) {
  gate_.SetMembers(LiveInstances());
  time_line_.Record(
      absl::Now(), TimelineEventKind::kPeerState, "",
      {{"peer", member.name}, {"state", MemberStateName(member.state)}});
  LogEvent(Severity::kInfo, "peer_state",
           {{"peer", member.name}, {"state", MemberStateName(member.state)}});
}

void Entry::OnGossipUpdate(const GossipUpdate& rumour) {
  broker_.RunOnDispatcher([&](Dispatcher& dispatcher, absl::Time now) {
    if (rumour.kind == GossipUpdateKind::kUpstream) {
      const auto state = static_cast<UpstreamState>(rumour.value);
      if (state == UpstreamState::kLeaving)
        dispatcher.OnUpstreamState(rumour.subject, state);
      return;
    }
    uint64_t fingerprint = 0;
    if (absl::SimpleAtoi(rumour.subject, &fingerprint)) {
      dispatcher.OnDeathCountReceived(fingerprint, rumour.origin,
                                      static_cast<uint32_t>(rumour.value), now);
    }
  });
}

std::string Entry::ConfigurationIndexJson() {
  const auto snapshot = keeper_.Current();
  return snapshot == nullptr ? "" : snapshot->index_json;
}

std::string Entry::ConfigurationBlob(const std::string& name) {
  const auto snapshot = keeper_.Current();
  if (snapshot == nullptr)
    return "";
  auto found = snapshot->blobs.find(name);
  return found == snapshot->blobs.end() ? "" : found->second;
}

void Entry::OnConfiguration(const std::string& index_json,
                            std::map<std::string, std::string> blobs) {
  keeper_.ApplyIfNewer(index_json, std::move(blobs));
}

std::map<std::string, std::vector<AccountDemand>> Entry::TakeDemands() {
  return gate_.TakeDemands();
}

std::vector<AccountGrant> Entry::OnDemands(
    const std::string& from,
    const std::vector<AccountDemand>& demands) {
  const auto snapshot = keeper_.Current();
  if (snapshot == nullptr)
    return {};
  return gate_.OnDemands(from, demands, snapshot->configuration);
}

void Entry::OnGrants(const std::vector<AccountGrant>& grants) {
  gate_.OnGrants(grants);
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
