#include "modules/peers/snapshot.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <algorithm>
#include <cstring>
#include <limits>
#include <string_view>
#include <utility>

#include "modules/core/hashing.h"
#include "modules/peers/snapshot.capnp.h"

namespace chicory {

namespace {

/** The first bytes of a snapshot; the digit changes with the format. */
constexpr absl::string_view kMagic = "chsnap1\n";
constexpr size_t kDigestBytes = sizeof(uint64_t);
/** Cap'n Proto traversal limit in 8-byte words; bounds the work and the memory
    that a malformed snapshot can cause. Packed content of this kind grows by
    less than half when it is unpacked. */
constexpr uint64_t kMaxReadWords = 4 * kMaxSnapshotBytes / sizeof(uint64_t);

int64_t Nanoseconds(absl::Duration duration) {
  return absl::ToInt64Nanoseconds(duration);
}

absl::Duration ReadNanoseconds(int64_t nanoseconds) {
  return nanoseconds == std::numeric_limits<int64_t>::max()
             ? absl::InfiniteDuration()
             : absl::Nanoseconds(nanoseconds);
}

/** Returns the enumerator with the number `value`, or `last` if there is none.
 */
template <class Enum>
Enum ReadEnum(uint8_t value, Enum last) {
  return static_cast<Enum>(std::min(value, static_cast<uint8_t>(last)));
}

template <class Builder>
void SetTexts(const std::vector<std::string>& texts, Builder list) {
  for (size_t i = 0; i < texts.size(); ++i)
    list.set(static_cast<unsigned>(i), texts[i]);
}

std::vector<std::string> ReadTexts(capnp::List<capnp::Text>::Reader list) {
  std::vector<std::string> texts;
  for (const auto text : list)
    texts.emplace_back(text.cStr(), text.size());
  return texts;
}

unsigned Count(size_t size) {
  return static_cast<unsigned>(size);
}

void SetRoute(const RouteEntry& route, wire::SnapshotRoute::Builder out) {
  out.setName(route.name);
  out.setHost(route.host);
  out.setPathPrefix(route.path_prefix);
  auto services = out.initTargetServices(Count(route.targets.size()));
  auto weights = out.initTargetWeights(Count(route.targets.size()));
  for (unsigned i = 0; i < services.size(); ++i) {
    services.set(i, route.targets[i].service);
    weights.set(i, route.targets[i].weight);
  }
  out.setRepeatability(static_cast<uint8_t>(route.repeatability));
  out.setTimeout(Nanoseconds(route.timeout));
  out.setTargetLatency(Nanoseconds(route.target_latency));
  out.setEventGap(Nanoseconds(route.event_gap));
  out.setPriority(route.priority);
  out.setMaxAttempts(route.max_attempts);
  out.setAnonymous(route.anonymous);
  out.setResumable(route.resumable);
  SetTexts(route.allowed_regions,
           out.initAllowedRegions(Count(route.allowed_regions.size())));
}

RouteEntry ReadRoute(wire::SnapshotRoute::Reader in) {
  RouteEntry route{.name = in.getName(),
                   .host = in.getHost(),
                   .path_prefix = in.getPathPrefix(),
                   .repeatability = ReadEnum(in.getRepeatability(),
                                             Repeatability::kStreaming),
                   .timeout = ReadNanoseconds(in.getTimeout()),
                   .target_latency = ReadNanoseconds(in.getTargetLatency()),
                   .event_gap = ReadNanoseconds(in.getEventGap()),
                   .priority = in.getPriority(),
                   .max_attempts = in.getMaxAttempts(),
                   .anonymous = in.getAnonymous(),
                   .resumable = in.getResumable(),
                   .allowed_regions = ReadTexts(in.getAllowedRegions())};
  const auto services = in.getTargetServices();
  const auto weights = in.getTargetWeights();
  for (unsigned i = 0; i < std::min(services.size(), weights.size()); ++i)
    route.targets.push_back({.service = services[i], .weight = weights[i]});
  return route;
}

void SetService(const Service& service, wire::SnapshotService::Builder out) {
  out.setName(service.name);
  out.setMaxConnections(service.max_connections);
  out.setColdDuration(Nanoseconds(service.cold_duration));
  out.setColdRequestsPerSecond(service.cold_requests_per_second);
  if (!service.engine)
    return;
  auto engine = out.initEngine();
  engine.setSlots(service.engine->slots);
  engine.setMemoryTokens(service.engine->memory_tokens);
  engine.setStepMs(service.engine->step_ms);
  engine.setPerSequenceMs(service.engine->per_sequence_ms);
  engine.setPerContextKMs(service.engine->per_context_k_ms);
  engine.setPrefillTokensPerMs(service.engine->prefill_tokens_per_ms);
  engine.setPerMillionPairsMs(service.engine->per_million_pairs_ms);
  engine.setChunkTokens(service.engine->chunk_tokens);
  engine.setStepsPerPass(service.engine->steps_per_pass);
}

Service ReadService(wire::SnapshotService::Reader in) {
  Service service{.name = in.getName(),
                  .max_connections = in.getMaxConnections(),
                  .cold_duration = ReadNanoseconds(in.getColdDuration()),
                  .cold_requests_per_second = in.getColdRequestsPerSecond()};
  if (!in.hasEngine())
    return service;
  const auto engine = in.getEngine();
  service.engine = {.slots = engine.getSlots(),
                    .memory_tokens = engine.getMemoryTokens(),
                    .step_ms = engine.getStepMs(),
                    .per_sequence_ms = engine.getPerSequenceMs(),
                    .per_context_k_ms = engine.getPerContextKMs(),
                    .prefill_tokens_per_ms = engine.getPrefillTokensPerMs(),
                    .per_million_pairs_ms = engine.getPerMillionPairsMs(),
                    .chunk_tokens = engine.getChunkTokens(),
                    .steps_per_pass = engine.getStepsPerPass()};
  return service;
}

void SetAccounts(const RoutingTable::Options& configuration,
                 wire::Snapshot::Builder out) {
  const std::vector<AccountEntry>& accounts = configuration.accounts;
  std::vector<std::vector<std::string>> keys(accounts.size());
  for (const auto& [key, account] : configuration.account_of_key)
    keys[account].push_back(key);
  out.setHasAccounts(configuration.has_accounts);
  auto list = out.initAccounts(Count(accounts.size()));
  for (unsigned i = 0; i < list.size(); ++i) {
    list[i].setName(accounts[i].name);
    list[i].setHasPriority(accounts[i].priority.has_value());
    list[i].setPriority(accounts[i].priority.value_or(0));
    SetTexts(
        accounts[i].allowed_regions,
        list[i].initAllowedRegions(Count(accounts[i].allowed_regions.size())));
    SetTexts(keys[i], list[i].initKeys(Count(keys[i].size())));
  }
}

void ReadAccounts(wire::Snapshot::Reader in,
                  RoutingTable::Options* configuration) {
  configuration->has_accounts = in.getHasAccounts();
  for (const auto entry : in.getAccounts()) {
    for (std::string& key : ReadTexts(entry.getKeys())) {
      configuration->account_of_key[std::move(key)] =
          configuration->accounts.size();
    }
    AccountEntry account{
        .name = entry.getName(),
        .allowed_regions = ReadTexts(entry.getAllowedRegions())};
    if (entry.getHasPriority())
      account.priority = entry.getPriority();
    configuration->accounts.push_back(std::move(account));
  }
}

void SetUpstream(const UpstreamDirectory::Registration& registration,
                 absl::Time now,
                 wire::SnapshotUpstream::Builder out) {
  const UpstreamRecord& record = registration.record;
  out.setId(record.id);
  out.setService(record.service);
  out.setAddress(record.address);
  out.setDataCentre(record.data_centre);
  out.setSlots(record.slots);
  out.setState(static_cast<uint8_t>(record.state));
  out.setStartedMilliseconds(record.started_ms);
  out.setColdFor(
      Nanoseconds(std::max(record.cold_until - now, absl::ZeroDuration())));
  out.setIsMissing(registration.is_missing);
}

UpstreamDirectory::Registration ReadUpstream(wire::SnapshotUpstream::Reader in,
                                             absl::Time now) {
  UpstreamRecord record{
      .id = in.getId(),
      .service = in.getService(),
      .address = in.getAddress(),
      .data_centre = in.getDataCentre(),
      .slots = in.getSlots(),
      .state = ReadEnum(in.getState(), RegistrationState::kDraining),
      .started_ms = in.getStartedMilliseconds()};
  if (in.getColdFor() > 0)
    record.cold_until = now + ReadNanoseconds(in.getColdFor());
  return {.record = std::move(record), .is_missing = in.getIsMissing()};
}

void SetSnapshot(const Snapshot& snapshot,
                 absl::Time now,
                 wire::Snapshot::Builder out) {
  const RoutingTable::Options& configuration = snapshot.configuration;
  out.setVersion(configuration.version);
  auto routes = out.initRoutes(Count(configuration.routes.size()));
  for (unsigned i = 0; i < routes.size(); ++i)
    SetRoute(configuration.routes[i], routes[i]);
  auto services = out.initServices(Count(configuration.services.size()));
  for (unsigned i = 0; i < services.size(); ++i)
    SetService(configuration.services[i], services[i]);
  out.setMaxHeaderBytes(configuration.limits.max_header_bytes);
  out.setMaxBodyBytes(configuration.limits.max_body_bytes);
  out.setHeaderTimeout(Nanoseconds(configuration.limits.header_timeout));
  out.setIdleTimeout(Nanoseconds(configuration.limits.idle_timeout));
  SetAccounts(configuration, out);
  out.setRevision(snapshot.revision);
  auto upstreams = out.initUpstreams(Count(snapshot.upstreams.size()));
  for (unsigned i = 0; i < upstreams.size(); ++i)
    SetUpstream(snapshot.upstreams[i], now, upstreams[i]);
  out.setEvacuationRevision(snapshot.evacuations.revision);
  SetTexts(snapshot.evacuations.data_centres,
           out.initEvacuatedDataCentres(
               Count(snapshot.evacuations.data_centres.size())));
  out.setAge(Nanoseconds(snapshot.age));
}

Snapshot ReadSnapshot(wire::Snapshot::Reader in, absl::Time now) {
  Snapshot snapshot{
      .configuration = {.version = in.getVersion(),
                        .limits = {.max_header_bytes = in.getMaxHeaderBytes(),
                                   .max_body_bytes = in.getMaxBodyBytes(),
                                   .header_timeout =
                                       ReadNanoseconds(in.getHeaderTimeout()),
                                   .idle_timeout =
                                       ReadNanoseconds(in.getIdleTimeout())}},
      .revision = in.getRevision(),
      .evacuations = {.revision = in.getEvacuationRevision(),
                      .data_centres = ReadTexts(in.getEvacuatedDataCentres())},
      .age = ReadNanoseconds(in.getAge())};
  for (const auto route : in.getRoutes())
    snapshot.configuration.routes.push_back(ReadRoute(route));
  for (const auto service : in.getServices())
    snapshot.configuration.services.push_back(ReadService(service));
  ReadAccounts(in, &snapshot.configuration);
  for (const auto upstream : in.getUpstreams())
    snapshot.upstreams.push_back(ReadUpstream(upstream, now));
  return snapshot;
}

/** Returns whether the gateway may use the content without further checks. */
bool IsUsable(const Snapshot& snapshot) {
  const auto has_targets = [](const RouteEntry& route) {
    return !route.targets.empty() && !route.path_prefix.empty();
  };
  return snapshot.configuration.version > 0 && snapshot.revision > 0 &&
         std::all_of(snapshot.configuration.routes.begin(),
                     snapshot.configuration.routes.end(), has_targets);
}

std::string Digest(absl::string_view content) {
  const uint64_t hash =
      StableHash(std::string_view(content.data(), content.size()));
  std::string bytes(kDigestBytes, '\0');
  std::memcpy(bytes.data(), &hash, kDigestBytes);
  return bytes;
}

}  // namespace

std::string EncodeSnapshot(const Snapshot& snapshot, absl::Time now) {
  capnp::MallocMessageBuilder builder;
  SetSnapshot(snapshot, now, builder.initRoot<wire::Snapshot>());
  kj::VectorOutputStream content;
  capnp::writePackedMessage(content, builder);
  const auto packed = content.getArray();
  const absl::string_view body(reinterpret_cast<const char*>(packed.begin()),
                               packed.size());
  std::string bytes(kMagic);
  bytes.append(Digest(body));
  bytes.append(body.data(), body.size());
  return bytes;
}

std::optional<Snapshot> DecodeSnapshot(absl::string_view bytes,
                                       absl::Time now) {
  constexpr size_t kHeadBytes = kMagic.size() + kDigestBytes;
  if (bytes.size() <= kHeadBytes || bytes.size() > kMaxSnapshotBytes ||
      bytes.substr(0, kMagic.size()) != kMagic)
    return std::nullopt;
  const absl::string_view body = bytes.substr(kHeadBytes);
  if (bytes.substr(kMagic.size(), kDigestBytes) != Digest(body))
    return std::nullopt;
  std::optional<Snapshot> result;
  const auto failure = kj::runCatchingExceptions([&] {
    kj::ArrayInputStream input(kj::arrayPtr(
        reinterpret_cast<const kj::byte*>(body.data()), body.size()));
    capnp::PackedMessageReader reader(input,
                                      {.traversalLimitInWords = kMaxReadWords});
    result = ReadSnapshot(reader.getRoot<wire::Snapshot>(), now);
  });
  if (failure != nullptr || !result || !IsUsable(*result))
    return std::nullopt;
  return result;
}

}  // namespace chicory
