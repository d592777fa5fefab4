#include "modules/gateway/snapshot_fetcher.h"

#include <utility>

#include "modules/net/loop_time.h"

namespace chicory {

namespace {

constexpr int kOk = 200;
/** Time limit of a transfer. Others are asked long before. */
constexpr absl::Duration kTransferTimeout = absl::Seconds(1);

const char* VerdictName(SnapshotPlan::Verdict verdict) {
  switch (verdict) {
    case SnapshotPlan::Verdict::kAdopt:
      return "adopted";
    case SnapshotPlan::Verdict::kHold:
      return "held";
    case SnapshotPlan::Verdict::kIgnore:
      break;
  }
  return "not_newer";
}

const char* FailureName(SnapshotPlan::Failure failure) {
  switch (failure) {
    case SnapshotPlan::Failure::kBusy:
      return "busy";
    case SnapshotPlan::Failure::kNoResponse:
      return "no_response";
    case SnapshotPlan::Failure::kInvalid:
      break;
  }
  return "invalid";
}

}  // namespace

SnapshotFetcher::SnapshotFetcher(boost::asio::io_context& loop,
                                 Options options,
                                 const Membership& membership,
                                 EventLog& log,
                                 GatewayMetrics& metrics,
                                 SnapshotDelegate* delegate)
    : loop_(loop),
      options_(options),
      membership_(membership),
      log_(log),
      metrics_(metrics),
      delegate_(delegate),
      plan_(options.seed) {}

SnapshotFetcher::~SnapshotFetcher() = default;

bool SnapshotFetcher::IsBusy() const {
  return plan_.is_open() && !delegate_->ContentInForce().is_complete();
}

void SnapshotFetcher::OnMessage(const PeerMessage& message) {
  if (message.sender == membership_.self())
    return;
  if (message.leaving) {
    plan_.OnLeft(message.sender);
    return;
  }
  plan_.OnAnnounced(message.sender,
                    {.version = message.configuration_in_force,
                     .revision = message.upstreams_complete_until},
                    message.configuration_version);
}

void SnapshotFetcher::Tick(absl::Time now) {
  // Not in the callbacks of the clients that are destroyed.
  std::erase_if(fetches_,
                [](const Fetch& fetch) { return !fetch.client->is_busy(); });
  if (!plan_.is_open() || membership_.leaving())
    return;
  plan_.SetInForce(delegate_->ContentInForce());
  if (plan_.TakeHeld(now) && held_)
    delegate_->AdoptSnapshot(std::move(held_->snapshot), held_->peer);
  StartNext(now);
}

void SnapshotFetcher::StartNext(absl::Time now) {
  plan_.SetInForce(delegate_->ContentInForce());
  if (!plan_.IsWanted())
    return;
  std::vector<InstanceIp> live;
  for (const InstanceRoster::Member& member : membership_.Members(now))
    live.push_back(member.ip);
  if (const auto peer = plan_.TakePeer(live, now))
    Start(*peer, now);
}

void SnapshotFetcher::Start(InstanceIp peer, absl::Time now) {
  fetches_.push_back({.peer = peer,
                      .started = now,
                      .client = std::make_unique<HttpClient>(
                          loop_, Endpoint{.ip = peer, .port = options_.port})});
  fetches_.back().client->Call({.target = "/snapshot",
                                .timeout = kTransferTimeout,
                                .max_body_bytes = kMaxSnapshotBytes},
                               [this, peer, now](const HttpCallResult& result) {
                                 OnResult(peer, now, result);
                               });
}

void SnapshotFetcher::OnResult(InstanceIp peer,
                               absl::Time started,
                               const HttpCallResult& result) {
  const absl::Time now = SteadyNow();
  if (!result.has_response || result.status != kOk) {
    OnFailed(peer,
             result.has_response ? SnapshotPlan::Failure::kBusy
                                 : SnapshotPlan::Failure::kNoResponse,
             result.status, now);
    return;
  }
  auto snapshot = DecodeSnapshot(result.body, now);
  if (!snapshot) {
    OnFailed(peer, SnapshotPlan::Failure::kInvalid, result.status, now);
    return;
  }
  plan_.SetInForce(delegate_->ContentInForce());
  const SnapshotPlan::Verdict verdict =
      plan_.OnContent(peer,
                      {.version = snapshot->configuration.version,
                       .revision = snapshot->revision},
                      now);
  metrics_.OnSnapshot(VerdictName(verdict));
  log_.Write("snapshot_fetched",
             {{"peer", IpText(peer)},
              {"version", snapshot->configuration.version},
              {"revision", snapshot->revision},
              {"age_ms", absl::ToInt64Milliseconds(snapshot->age)},
              {"bytes", result.body.size()},
              {"took_ms", absl::ToInt64Milliseconds(now - started)},
              {"outcome", VerdictName(verdict)}});
  if (verdict == SnapshotPlan::Verdict::kHold) {
    held_ = {.peer = peer, .snapshot = *std::move(snapshot)};
    return;
  }
  if (verdict != SnapshotPlan::Verdict::kAdopt)
    return;
  held_.reset();
  delegate_->AdoptSnapshot(*std::move(snapshot), peer);
}

void SnapshotFetcher::OnFailed(InstanceIp peer,
                               SnapshotPlan::Failure failure,
                               int status,
                               absl::Time now) {
  plan_.OnFailed(peer, failure, now);
  metrics_.OnSnapshot(FailureName(failure));
  log_.Write("snapshot_refused", {{"peer", IpText(peer)},
                                  {"reason", FailureName(failure)},
                                  {"status", status}});
  StartNext(now);
}

}  // namespace chicory
