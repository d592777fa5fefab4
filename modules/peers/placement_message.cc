#include "modules/peers/placement_message.h"

#include <capnp/any.h>
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <algorithm>
#include <cstring>
#include <limits>
#include <utility>

#include "modules/peers/placement.capnp.h"

namespace chicory {

namespace {

/** Maximum list entries per message, so that it fits into kMaxDatagramBytes. */
constexpr size_t kMaxRunningPerMessage = 8;
constexpr size_t kMaxMembersPerMessage = 96;
constexpr size_t kMaxAvoidPerRequest = 8;
constexpr size_t kMaxLimitsPerRequest = 16;
constexpr size_t kMaxRegionsPerRequest = 8;
constexpr size_t kMaxPrefixesPerRequest = 8;
constexpr size_t kMaxEvacuatedPerMessage = 16;
/** Cap'n Proto traversal limit for received messages, in 8-byte words; bounds
    the work that a malformed datagram can cause. */
constexpr uint64_t kMaxReadWords = 4096;

/** Unit of the ages of confirmations. */
constexpr absl::Duration kAgeStep = absl::Microseconds(31250);
/** Marks an age that is unknown or does not fit. */
constexpr uint8_t kUnknownAge = std::numeric_limits<uint8_t>::max();

/** Returns an age in steps, rounded up, so that nothing appears newer than it
    is. */
uint8_t ToWireAge(absl::Duration age) {
  const absl::Duration rounded =
      absl::Ceil(std::max(age, absl::ZeroDuration()), kAgeStep);
  return rounded >= kUnknownAge * kAgeStep
             ? kUnknownAge
             : static_cast<uint8_t>(rounded / kAgeStep);
}

absl::Duration FromWireAge(uint8_t steps) {
  return steps == kUnknownAge ? absl::InfiniteDuration() : steps * kAgeStep;
}

/** Size of wire::Datagram. Its last data word holds the ages of confirmations,
    which most datagrams do not carry. */
constexpr uint16_t kDataWords = 10;
constexpr uint16_t kPointers = 8;

/** Returns a duration in microseconds; -1 if it is infinite. */
int64_t OptionalMicroseconds(absl::Duration duration) {
  return duration == absl::InfiniteDuration()
             ? -1
             : std::max<int64_t>(absl::ToInt64Microseconds(duration), 0);
}

absl::Duration ReadOptionalMicroseconds(int64_t microseconds) {
  return microseconds < 0 ? absl::InfiniteDuration()
                          : absl::Microseconds(microseconds);
}

void WriteTerms(const RelativeWorkRequest& work,
                wire::WorkTerms::Builder builder) {
  builder.setFirstEventDeadlineInMicroseconds(
      OptionalMicroseconds(work.first_event_deadline_in));
  builder.setAccount(work.account);
  builder.setFingerprint(work.fingerprint);
  const uint32_t region_count = static_cast<uint32_t>(
      std::min(work.regions.size(), kMaxRegionsPerRequest));
  auto regions = builder.initRegions(region_count);
  for (uint32_t i = 0; i < region_count; ++i)
    regions.set(i, work.regions[i]);
  const uint32_t prefix_count = static_cast<uint32_t>(
      std::min(work.prefixes.size(), kMaxPrefixesPerRequest));
  auto ids = builder.initPrefixIds(prefix_count);
  auto tokens = builder.initPrefixTokens(prefix_count);
  for (uint32_t i = 0; i < prefix_count; ++i) {
    ids.set(i, work.prefixes[i].id);
    tokens.set(i, static_cast<uint32_t>(work.prefixes[i].tokens));
  }
}

void ReadTerms(wire::WorkTerms::Reader reader, RelativeWorkRequest* work) {
  work->first_event_deadline_in =
      ReadOptionalMicroseconds(reader.getFirstEventDeadlineInMicroseconds());
  work->account = reader.getAccount();
  work->fingerprint = reader.getFingerprint();
  for (uint64_t region : reader.getRegions())
    work->regions.push_back(region);
  const auto ids = reader.getPrefixIds();
  const auto tokens = reader.getPrefixTokens();
  for (uint32_t i = 0; i < std::min(ids.size(), tokens.size()); ++i)
    work->prefixes.push_back({.id = ids[i], .tokens = tokens[i]});
}

void WriteWork(const RelativeWorkRequest& work, wire::Work::Builder builder) {
  builder.setSequence(work.sequence);
  builder.setService(work.service);
  builder.setPromptTokens(work.prompt_tokens);
  builder.setOutputTokens(work.output_tokens);
  builder.setDueInMicroseconds(absl::ToInt64Microseconds(work.due_in));
  builder.setDeadlineInMicroseconds(
      absl::ToInt64Microseconds(work.deadline_in));
  builder.setEventGapMicroseconds(OptionalMicroseconds(work.event_gap));
  builder.setPriority(work.priority);
  builder.setGroup(work.group);
  const size_t count = std::min(work.avoid.size(), kMaxAvoidPerRequest);
  auto avoid = builder.initAvoid(static_cast<uint32_t>(count));
  for (size_t i = 0; i < count; ++i)
    avoid.set(static_cast<uint32_t>(i), work.avoid[i]);
}

RelativeWorkRequest ReadWork(wire::Work::Reader reader) {
  RelativeWorkRequest work{
      .sequence = reader.getSequence(),
      .service = reader.getService(),
      .prompt_tokens = std::max<int64_t>(reader.getPromptTokens(), 0),
      .output_tokens = std::max<int64_t>(reader.getOutputTokens(), 0),
      .due_in = absl::Microseconds(reader.getDueInMicroseconds()),
      .deadline_in = absl::Microseconds(reader.getDeadlineInMicroseconds()),
      .event_gap = ReadOptionalMicroseconds(reader.getEventGapMicroseconds()),
      .priority = reader.getPriority(),
      .group = reader.getGroup()};
  for (uint64_t key : reader.getAvoid())
    work.avoid.push_back(key);
  return work;
}

/** Returns an age in milliseconds, at most the largest that the wire holds. */
uint16_t WireAge(absl::Duration age) {
  constexpr int64_t kLargest = std::numeric_limits<uint16_t>::max();
  return static_cast<uint16_t>(
      std::clamp<int64_t>(absl::ToInt64Milliseconds(age), 0, kLargest));
}

/** Returns a duration in microseconds, at most the largest that the wire
    holds. */
uint32_t WireMicroseconds(absl::Duration duration) {
  constexpr int64_t kLargest = std::numeric_limits<uint32_t>::max();
  return static_cast<uint32_t>(
      std::clamp<int64_t>(absl::ToInt64Microseconds(duration), 0, kLargest));
}

/** Returns a duration in milliseconds, at most the largest that the wire
    holds. */
uint32_t WireMilliseconds(absl::Duration duration) {
  constexpr int64_t kLargest = std::numeric_limits<uint32_t>::max();
  return static_cast<uint32_t>(
      std::clamp<int64_t>(absl::ToInt64Milliseconds(duration), 0, kLargest));
}

/** The distinct names in a batch of upstream changes, which are sent once. */
class NameTable {
 public:
  /** Returns the index of `name`, which is added if it is new. */
  uint8_t IndexOf(const std::string& name) {
    const auto found = std::find(names_.begin(), names_.end(), name);
    const auto index = static_cast<uint8_t>(found - names_.begin());
    if (found == names_.end())
      names_.push_back(name);
    return index;
  }
  const std::vector<std::string>& names() const { return names_; }

 private:
  std::vector<std::string> names_;
};

void WriteBatch(const UpstreamBatch& batch,
                wire::UpstreamBatch::Builder builder) {
  builder.setFrom(batch.from);
  builder.setTo(batch.to);
  builder.setLastChange(batch.last_change);
  builder.setAfterOutage(batch.after_outage);
  builder.setPart(batch.part);
  builder.setParts(batch.parts);
  NameTable table;
  auto list = builder.initChanges(static_cast<uint32_t>(batch.changes.size()));
  for (size_t i = 0; i < batch.changes.size(); ++i) {
    const UpstreamRecord& record = batch.changes[i].record;
    auto change = list[static_cast<uint32_t>(i)];
    change.setId(record.id);
    change.setService(table.IndexOf(record.service));
    change.setAddress(record.address);
    change.setDataCentre(table.IndexOf(record.data_centre));
    change.setSlots(record.slots);
    change.setIsDraining(record.state == RegistrationState::kDraining);
    change.setRemoved(batch.changes[i].removed);
    change.setStartedMilliseconds(record.started_ms);
    change.setColdMilliseconds(WireMilliseconds(batch.changes[i].cold_for));
  }
  auto names = builder.initNames(static_cast<uint32_t>(table.names().size()));
  for (uint32_t i = 0; i < names.size(); ++i)
    names.set(i, table.names()[i]);
}

struct ContentWriter {
  wire::Datagram::Builder builder;

  void operator()(const HelloMessage& hello) {
    const size_t count = std::min(hello.running.size(), kMaxRunningPerMessage);
    builder.setRunningTotal(static_cast<uint32_t>(hello.total));
    builder.setWantsWelcome(hello.wants_welcome);
    builder.setWantsChanges(hello.wants_changes);
    auto list = builder.initHello(static_cast<uint32_t>(count));
    for (size_t i = 0; i < count; ++i) {
      auto item = list[static_cast<uint32_t>(i)];
      WriteWork(hello.running[i].work, item.initWork());
      item.setUpstream(hello.running[i].upstream);
      item.setAnswering(hello.running[i].response_started);
    }
  }
  void operator()(const WelcomeMessage& welcome) {
    builder.setWelcome();
    const uint32_t count = static_cast<uint32_t>(
        std::min(welcome.members.size(), kMaxMembersPerMessage));
    auto ips = builder.initMemberIps(count);
    auto ages = builder.initMemberAgesMilliseconds(count);
    auto lost_source = builder.initMemberLostSource(count);
    for (uint32_t i = 0; i < count; ++i) {
      const InstanceRoster::Member& member = welcome.members[i];
      ips.set(i, member.ip);
      ages.set(i, WireAge(member.age));
      lost_source.set(i, member.lost_source);
    }
    if (welcome.missed)
      WriteBatch(*welcome.missed, builder.initMissedUpstreams());
  }
  void operator()(const SubmitMessage& submit) {
    const uint32_t count = static_cast<uint32_t>(
        std::min(submit.limits.size(), kMaxLimitsPerRequest));
    auto written = builder.initSubmitWithTerms();
    WriteWork(submit.work, written.initWork());
    WriteTerms(submit.work, written.initTerms());
    if (count == 0)
      return;
    auto limits = written.initLimits();
    auto upstreams = limits.initUpstreams(count);
    auto rates = limits.initPerSecond(count);
    auto ages = limits.initAgesMilliseconds(count);
    for (uint32_t i = 0; i < count; ++i) {
      upstreams.set(i, submit.limits[i].upstream);
      rates.set(i, static_cast<float>(submit.limits[i].per_second));
      ages.set(i, WireAge(submit.limits[i].age));
    }
  }
  void operator()(const QueuedMessage& queued) {
    builder.setWaits(queued.sequence);
  }
  void operator()(const DecisionMessage& message) {
    const ScheduleDecision& decision = message.decision;
    if (decision.kind == ScheduleDecision::Kind::kRefuse) {
      auto refuse = builder.initRefuse();
      refuse.setRefusedSequence(decision.key.sequence);
      refuse.setRetryAfterMicroseconds(
          absl::ToInt64Microseconds(decision.retry_after));
      refuse.setCause(static_cast<uint8_t>(decision.cause));
      return;
    }
    auto assign = builder.initAssign();
    assign.setSequence(decision.key.sequence);
    assign.setUpstream(decision.upstream);
    assign.setExpectedMicroseconds(
        absl::ToInt64Microseconds(decision.expected));
    auto helpers =
        assign.initHelpers(static_cast<uint32_t>(decision.helpers.size()));
    for (size_t i = 0; i < decision.helpers.size(); ++i)
      helpers.set(static_cast<uint32_t>(i), decision.helpers[i]);
    const uint32_t shares = static_cast<uint32_t>(decision.memory.size());
    auto memory_at = assign.initMemoryAt(shares);
    auto memory_tokens = assign.initMemoryTokens(shares);
    for (uint32_t i = 0; i < shares; ++i) {
      memory_at.set(i, decision.memory[i].upstream);
      memory_tokens.set(i, decision.memory[i].tokens);
    }
  }
  void operator()(const ResponseStartedMessage& response_start) {
    builder.setFirstPart(response_start.sequence);
  }
  void operator()(const EndedMessage& message) {
    auto ended = builder.initEnded();
    ended.setEndedSequence(message.sequence);
    ended.setResult(static_cast<uint8_t>(message.result));
    ended.setFaultAt(message.faulty_upstream);
  }
  void operator()(const LeaveMessage&) { builder.setGoodbye(); }
  void operator()(const CrashEvidenceMessage& message) {
    const CrashEvidence& evidence = message.evidence;
    const uint32_t crashes = static_cast<uint32_t>(evidence.crashes.size());
    const uint32_t starts = static_cast<uint32_t>(evidence.starts.size());
    auto written = builder.initCrashEvidence();
    written.setWantsReply(message.wants_reply);
    auto crash_parts = written.initCrashParts(crashes);
    auto crash_upstreams = written.initCrashUpstreams(crashes);
    auto crash_ages = written.initCrashAgesMicroseconds(crashes);
    auto crash_waits = written.initCrashWaitsMicroseconds(crashes);
    auto crash_is_request = written.initCrashIsRequest(crashes);
    for (uint32_t i = 0; i < crashes; ++i) {
      const CrashSuspect& suspect = evidence.crashes[i].suspect;
      crash_parts.set(i, suspect.id);
      crash_is_request.set(i, suspect.kind == CrashSuspect::Kind::kRequest);
      crash_upstreams.set(i, evidence.crashes[i].upstream);
      crash_ages.set(i, WireMicroseconds(evidence.crashes[i].age));
      crash_waits.set(i, WireMicroseconds(evidence.crashes[i].wait));
    }
    auto start_parts = written.initStartParts(starts);
    auto start_ages = written.initStartAgesMicroseconds(starts);
    auto start_is_request = written.initStartIsRequest(starts);
    for (uint32_t i = 0; i < starts; ++i) {
      const CrashSuspect& suspect = evidence.starts[i].suspect;
      start_parts.set(i, suspect.id);
      start_is_request.set(i, suspect.kind == CrashSuspect::Kind::kRequest);
      start_ages.set(i, WireMicroseconds(evidence.starts[i].age));
    }
  }
};

UpstreamBatch ReadBatch(wire::UpstreamBatch::Reader reader) {
  UpstreamBatch batch{.from = reader.getFrom(),
                      .to = reader.getTo(),
                      .last_change = reader.getLastChange(),
                      .after_outage = reader.getAfterOutage(),
                      .part = reader.getPart(),
                      .parts = reader.getParts()};
  const auto names = reader.getNames();
  const auto name_at = [&](uint8_t index) {
    return index < names.size() ? std::string(names[index]) : std::string();
  };
  for (auto change : reader.getChanges()) {
    batch.changes.push_back(
        {.record = {.id = change.getId(),
                    .service = name_at(change.getService()),
                    .address = change.getAddress(),
                    .data_centre = name_at(change.getDataCentre()),
                    .slots = change.getSlots(),
                    .state = change.getIsDraining()
                                 ? RegistrationState::kDraining
                                 : RegistrationState::kReady,
                    .started_ms = change.getStartedMilliseconds()},
         .removed = change.getRemoved(),
         .cold_for = absl::Milliseconds(change.getColdMilliseconds())});
  }
  return batch;
}

HelloMessage ReadHello(wire::Datagram::Reader reader) {
  HelloMessage hello{.total = reader.getRunningTotal(),
                     .wants_welcome = reader.getWantsWelcome(),
                     .wants_changes = reader.getWantsChanges()};
  const auto list = reader.getHello();
  for (auto item : list) {
    hello.running.push_back({.work = ReadWork(item.getWork()),
                             .upstream = item.getUpstream(),
                             .response_started = item.getAnswering()});
  }
  return hello;
}

WelcomeMessage ReadWelcome(wire::Datagram::Reader reader) {
  WelcomeMessage welcome;
  const auto ips = reader.getMemberIps();
  const auto ages = reader.getMemberAgesMilliseconds();
  const auto lost_source = reader.getMemberLostSource();
  const uint32_t count =
      std::min({ips.size(), ages.size(), lost_source.size()});
  for (uint32_t i = 0; i < count; ++i) {
    welcome.members.push_back({.ip = ips[i],
                               .age = absl::Milliseconds(ages[i]),
                               .lost_source = lost_source[i]});
  }
  if (reader.hasMissedUpstreams())
    welcome.missed = ReadBatch(reader.getMissedUpstreams());
  return welcome;
}

DecisionMessage ReadAssign(wire::Datagram::Assign::Reader assign) {
  ScheduleDecision decision{
      .kind = ScheduleDecision::Kind::kAssign,
      .key = {.sequence = assign.getSequence()},
      .upstream = assign.getUpstream(),
      .expected = absl::Microseconds(assign.getExpectedMicroseconds())};
  for (uint64_t helper : assign.getHelpers())
    decision.helpers.push_back(helper);
  const auto memory_at = assign.getMemoryAt();
  const auto memory_tokens = assign.getMemoryTokens();
  for (uint32_t i = 0; i < std::min(memory_at.size(), memory_tokens.size());
       ++i) {
    decision.memory.push_back(
        {.upstream = memory_at[i], .tokens = memory_tokens[i]});
  }
  return {.decision = std::move(decision)};
}

DecisionMessage ReadRefuse(wire::Datagram::Refuse::Reader refuse) {
  const uint8_t cause =
      std::min(refuse.getCause(), static_cast<uint8_t>(kLastRefusalCause));
  return {.decision = {.kind = ScheduleDecision::Kind::kRefuse,
                       .key = {.sequence = refuse.getRefusedSequence()},
                       .cause = static_cast<RefusalCause>(cause),
                       .retry_after = absl::Microseconds(
                           refuse.getRetryAfterMicroseconds())}};
}

EndedMessage ReadEnded(wire::Datagram::Ended::Reader ended) {
  const uint8_t result =
      std::min(ended.getResult(), static_cast<uint8_t>(AttemptResult::kCrash));
  return {.sequence = ended.getEndedSequence(),
          .result = static_cast<AttemptResult>(result),
          .faulty_upstream = ended.getFaultAt()};
}

/** `is_request` may be shorter than the list of ids: earlier builds know only
    parts of prompts. */
CrashSuspect ReadSuspect(uint64_t id,
                         capnp::List<bool>::Reader is_request,
                         uint32_t index) {
  const bool is_whole = index < is_request.size() && is_request[index];
  return {.kind = is_whole ? CrashSuspect::Kind::kRequest
                           : CrashSuspect::Kind::kPromptPart,
          .id = id};
}

CrashEvidenceMessage ReadCrashEvidence(wire::CrashEvidence::Reader reader) {
  CrashEvidenceMessage message{.wants_reply = reader.getWantsReply()};
  const auto crash_parts = reader.getCrashParts();
  const auto crash_upstreams = reader.getCrashUpstreams();
  const auto crash_ages = reader.getCrashAgesMicroseconds();
  const auto crash_waits = reader.getCrashWaitsMicroseconds();
  const uint32_t crashes = std::min({crash_parts.size(), crash_upstreams.size(),
                                     crash_ages.size(), crash_waits.size()});
  for (uint32_t i = 0; i < crashes; ++i) {
    message.evidence.crashes.push_back(
        {.suspect = ReadSuspect(crash_parts[i], reader.getCrashIsRequest(), i),
         .upstream = crash_upstreams[i],
         .age = absl::Microseconds(crash_ages[i]),
         .wait = absl::Microseconds(crash_waits[i])});
  }
  const auto start_parts = reader.getStartParts();
  const auto start_ages = reader.getStartAgesMicroseconds();
  const uint32_t starts = std::min(start_parts.size(), start_ages.size());
  for (uint32_t i = 0; i < starts; ++i) {
    message.evidence.starts.push_back(
        {.suspect = ReadSuspect(start_parts[i], reader.getStartIsRequest(), i),
         .age = absl::Microseconds(start_ages[i])});
  }
  return message;
}

std::vector<SubmitMessage::Limit> ReadLimits(
    wire::RequestLimits::Reader limits) {
  std::vector<SubmitMessage::Limit> read;
  const auto upstreams = limits.getUpstreams();
  const auto rates = limits.getPerSecond();
  const auto ages = limits.getAgesMilliseconds();
  const uint32_t count =
      std::min({upstreams.size(), rates.size(), ages.size()});
  for (uint32_t i = 0; i < count; ++i) {
    const bool is_rate = rates[i] >= 0;
    if (!is_rate)
      continue;
    read.push_back({.upstream = upstreams[i],
                    .per_second = rates[i],
                    .age = absl::Milliseconds(ages[i])});
  }
  return read;
}

SubmitMessage ReadSubmitWithLimits(
    wire::Datagram::SubmitWithLimits::Reader reader) {
  return {.work = ReadWork(reader.getWork()),
          .limits = ReadLimits(reader.getLimits())};
}

SubmitMessage ReadSubmitWithTerms(
    wire::Datagram::SubmitWithTerms::Reader reader) {
  SubmitMessage message{.work = ReadWork(reader.getWork()),
                        .limits = ReadLimits(reader.getLimits())};
  ReadTerms(reader.getTerms(), &message.work);
  return message;
}

bool ReadContent(wire::Datagram::Reader reader, PeerMessage* message) {
  switch (reader.which()) {
    case wire::Datagram::HELLO:
      message->content = ReadHello(reader);
      return true;
    case wire::Datagram::WELCOME:
      message->content = ReadWelcome(reader);
      return true;
    case wire::Datagram::SUBMIT:
      message->content = SubmitMessage{.work = ReadWork(reader.getSubmit())};
      return true;
    case wire::Datagram::SUBMIT_WITH_LIMITS:
      message->content = ReadSubmitWithLimits(reader.getSubmitWithLimits());
      return true;
    case wire::Datagram::SUBMIT_WITH_TERMS:
      message->content = ReadSubmitWithTerms(reader.getSubmitWithTerms());
      return true;
    case wire::Datagram::WAITS:
      message->content = QueuedMessage{.sequence = reader.getWaits()};
      return true;
    case wire::Datagram::ASSIGN:
      message->content = ReadAssign(reader.getAssign());
      return true;
    case wire::Datagram::REFUSE:
      message->content = ReadRefuse(reader.getRefuse());
      return true;
    case wire::Datagram::FIRST_PART:
      message->content =
          ResponseStartedMessage{.sequence = reader.getFirstPart()};
      return true;
    case wire::Datagram::ENDED:
      message->content = ReadEnded(reader.getEnded());
      return true;
    case wire::Datagram::GOODBYE:
      message->content = LeaveMessage{};
      return true;
    case wire::Datagram::CRASH_EVIDENCE:
      message->content = ReadCrashEvidence(reader.getCrashEvidence());
      return true;
  }
  return false;
}

void WriteEvacuations(const Evacuations& evacuations,
                      wire::Datagram::Builder builder) {
  if (evacuations.revision == 0)
    return;
  auto written = builder.initEvacuations();
  written.setRevision(evacuations.revision);
  const uint32_t count = static_cast<uint32_t>(
      std::min(evacuations.data_centres.size(), kMaxEvacuatedPerMessage));
  auto names = written.initDataCentres(count);
  for (uint32_t i = 0; i < count; ++i)
    names.set(i, evacuations.data_centres[i]);
}

Evacuations ReadEvacuations(wire::Datagram::Reader reader) {
  if (!reader.hasEvacuations())
    return {};
  const auto written = reader.getEvacuations();
  Evacuations evacuations{.revision = written.getRevision()};
  for (const auto& name : written.getDataCentres())
    evacuations.data_centres.push_back(name);
  // Evacuations::Contains() relies on the order.
  std::vector<std::string>& names = evacuations.data_centres;
  std::sort(names.begin(), names.end());
  return evacuations;
}

void WriteAges(const PeerMessage& message, wire::Datagram::Builder datagram) {
  const uint64_t log_length =
      message.upstreams_complete_until - message.upstreams_log_begin;
  datagram.setUpstreamsLogLength(static_cast<uint16_t>(
      std::min<uint64_t>(log_length, std::numeric_limits<uint16_t>::max())));
  datagram.setConfigurationAge(ToWireAge(message.configuration_age));
  datagram.setUpstreamsAge(ToWireAge(message.upstreams_age));
}

std::string Encode(const PeerMessage& message) {
  capnp::MallocMessageBuilder builder;
  const uint16_t data_words = message.has_ages() ? kDataWords : kDataWords - 1;
  auto datagram = builder.initRoot<capnp::AnyPointer>()
                      .initAsAnyStruct(data_words, kPointers)
                      .as<wire::Datagram>();
  datagram.setSender(message.sender);
  datagram.setConfigurationVersion(message.configuration_version);
  datagram.setHasConfiguration(message.configuration_in_force > 0);
  datagram.setIsConfigurationOlder(message.configuration_in_force <
                                   message.configuration_version);
  datagram.setLiveInstances(static_cast<uint32_t>(message.live_instances));
  datagram.setLeaving(message.leaving);
  datagram.setUpstreamsCompleteUntil(message.upstreams_complete_until);
  datagram.setUpstreamsLastChange(message.upstreams_last_change);
  datagram.setSourceState(static_cast<uint8_t>(message.source));
  if (message.has_ages())
    WriteAges(message, datagram);
  datagram.setGroupCount(message.group_count);
  datagram.setCrashDigest(message.crash_digest);
  WriteEvacuations(message.evacuations, datagram);
  datagram.setKnowsEvacuations(message.knows_evacuations);
  std::visit(ContentWriter{datagram}, message.content);
  const auto words = capnp::messageToFlatArray(builder);
  const auto bytes = words.asBytes();
  return std::string(reinterpret_cast<const char*>(bytes.begin()),
                     bytes.size());
}

/** Returns PeerMessage::upstreams_log_begin. */
uint64_t ReadLogBegin(wire::Datagram::Reader datagram) {
  const uint64_t end = datagram.getUpstreamsCompleteUntil();
  return end - std::min<uint64_t>(end, datagram.getUpstreamsLogLength());
}

/** Returns PeerMessage::configuration_in_force. */
uint64_t ReadConfigurationInForce(wire::Datagram::Reader datagram) {
  const uint64_t newest = datagram.getConfigurationVersion();
  if (!datagram.getHasConfiguration() || newest == 0)
    return 0;
  return datagram.getIsConfigurationOlder() ? newest - 1 : newest;
}

}  // namespace

RelativeWorkRequest RelativeWorkRequest::From(const WorkRequest& request,
                                              absl::Time now) {
  return {.sequence = request.key.sequence,
          .service = request.service,
          .prompt_tokens = request.prompt_tokens,
          .output_tokens = request.output_tokens,
          .due_in = request.due - now,
          .deadline_in = request.deadline - now,
          .event_gap = request.event_gap,
          .priority = request.priority,
          .avoid = request.avoid,
          .group = request.group,
          .first_event_deadline_in = request.first_event_deadline - now,
          .account = request.account,
          .fingerprint = request.fingerprint,
          .regions = request.regions,
          .prefixes = request.prefixes};
}

WorkRequest RelativeWorkRequest::ToRequest(InstanceIp owner,
                                           absl::Time now) const {
  return {.key = {.owner = owner, .sequence = sequence},
          .service = service,
          .prompt_tokens = prompt_tokens,
          .output_tokens = output_tokens,
          .due = now + due_in,
          .deadline = now + deadline_in,
          .first_event_deadline = now + first_event_deadline_in,
          .event_gap = event_gap,
          .priority = priority,
          .avoid = avoid,
          .group = group,
          .account = account,
          .fingerprint = fingerprint,
          .regions = regions,
          .prefixes = prefixes};
}

std::string EncodePeerMessage(const PeerMessage& message) {
  std::string bytes = Encode(message);
  const auto* welcome = std::get_if<WelcomeMessage>(&message.content);
  if (bytes.size() <= kMaxDatagramBytes || !welcome || !welcome->missed)
    return bytes;
  PeerMessage shorter = message;
  std::get<WelcomeMessage>(shorter.content).missed.reset();
  return Encode(shorter);
}

std::optional<PeerMessage> DecodePeerMessage(absl::string_view bytes) {
  if (bytes.empty() || bytes.size() % sizeof(capnp::word) != 0)
    return std::nullopt;
  // FlatArrayMessageReader requires word-aligned memory.
  std::vector<capnp::word> words(bytes.size() / sizeof(capnp::word));
  std::memcpy(words.data(), bytes.data(), bytes.size());
  std::optional<PeerMessage> result;
  const auto failure = kj::runCatchingExceptions([&] {
    capnp::FlatArrayMessageReader reader(
        kj::arrayPtr(words.data(), words.size()),
        {.traversalLimitInWords = kMaxReadWords});
    auto datagram = reader.getRoot<wire::Datagram>();
    PeerMessage message{
        .sender = datagram.getSender(),
        .configuration_version = datagram.getConfigurationVersion(),
        .configuration_in_force = ReadConfigurationInForce(datagram),
        .live_instances = datagram.getLiveInstances(),
        .leaving = datagram.getLeaving(),
        .upstreams_complete_until = datagram.getUpstreamsCompleteUntil(),
        .upstreams_last_change = datagram.getUpstreamsLastChange(),
        .upstreams_log_begin = ReadLogBegin(datagram),
        .source = static_cast<SourceState>(
            std::min(datagram.getSourceState(),
                     static_cast<uint8_t>(SourceState::kLost))),
        .configuration_age = FromWireAge(datagram.getConfigurationAge()),
        .upstreams_age = FromWireAge(datagram.getUpstreamsAge()),
        .group_count = datagram.getGroupCount(),
        .crash_digest = datagram.getCrashDigest(),
        .evacuations = ReadEvacuations(datagram),
        .knows_evacuations = datagram.getKnowsEvacuations(),
        .content = LeaveMessage{}};
    if (ReadContent(datagram, &message))
      result = std::move(message);
  });
  if (failure != nullptr)
    return std::nullopt;
  return result;
}

}  // namespace chicory
