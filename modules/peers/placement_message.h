#ifndef MODULES_PEERS_PLACEMENT_MESSAGE_H_
#define MODULES_PEERS_PLACEMENT_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>
#include "absl/strings/string_view.h"

#include "absl/time/time.h"
#include "modules/decisions/crashing_parts.h"
#include "modules/decisions/fleet_scheduler.h"
#include "modules/decisions/instance_roster.h"
#include "modules/decisions/request_limits.h"
#include "modules/routing/evacuations.h"
#include "modules/routing/upstream_change_log.h"

namespace chicory {

/** A WorkRequest as it is sent to another instance.

    Its times are relative to the moment of encoding, because the clocks of two
    instances are not comparable. */
struct RelativeWorkRequest {
  uint64_t sequence = 0;
  std::string service;
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;
  /** Time left until WorkRequest::due; negative once it has passed. */
  absl::Duration due_in;
  /** Time left until WorkRequest::deadline. */
  absl::Duration deadline_in;
  absl::Duration event_gap = absl::InfiniteDuration();
  int priority = 0;
  std::vector<UpstreamKey> avoid;
  uint32_t group = 0;
  /** Time left until WorkRequest::first_event_deadline. This and the fields
      below are sent in a SubmitMessage only. */
  absl::Duration first_event_deadline_in = absl::InfiniteDuration();
  AccountKey account = 0;
  RequestFingerprint fingerprint = 0;
  std::vector<RegionKey> regions;
  std::vector<PromptPrefix> prefixes;

  /** Converts `request`, measuring its times from `now`. */
  static RelativeWorkRequest From(const WorkRequest& request, absl::Time now);
  /** Returns the request of the instance `owner`, with its times counted from
      `now`. The time in transit is not subtracted. */
  WorkRequest ToRequest(InstanceIp owner, absl::Time now) const;
};

/** Heartbeat to a scheduler or a seed, with the sender's running requests.

    A scheduler that has just taken over learns the placements from it. */
struct HelloMessage {
  /** A request that runs at `upstream`. */
  struct Item {
    RelativeWorkRequest work;
    UpstreamKey upstream = 0;
    /** The response has started. */
    bool response_started = false;
  };
  std::vector<Item> running;
  /** Number of running requests. Exceeds the size of `running` when the list
      was truncated to fit into one datagram. */
  size_t total = 0;
  /** Whether the receiver is to reply with a WelcomeMessage. */
  bool wants_welcome = true;
  /** Whether the reply is to carry the upstream changes that the sender is
      missing. */
  bool wants_changes = false;
};

/** Reply to a HelloMessage: live instances and missed upstream changes. */
struct WelcomeMessage {
  std::vector<InstanceRoster::Member> members;
  /** One part of a batch of upstream changes that the receiver is missing. */
  std::optional<UpstreamBatch> missed;
};

/** Requests a placement from a scheduler. Resent until there is a reply. */
struct SubmitMessage {
  RelativeWorkRequest work;
  /** A limit that an upstream has named, with the age of the observation. */
  struct Limit {
    UpstreamKey upstream = 0;
    double per_second = RequestLimit::kNone;
    absl::Duration age;
  };
  /** Limits that the sender knows of, so that a scheduler which places its
      request observes them as well. */
  std::vector<Limit> limits;
};

/** Acknowledges a SubmitMessage: the request is in the scheduler's queue. */
struct QueuedMessage {
  uint64_t sequence = 0;
};

/** Informs the owner of a request of its placement or refusal. */
struct DecisionMessage {
  ScheduleDecision decision;
};

/** Informs the scheduler that the upstream has started to respond. */
struct ResponseStartedMessage {
  uint64_t sequence = 0;
};

/** Informs the scheduler that an attempt has ended or was cancelled. */
struct EndedMessage {
  uint64_t sequence = 0;
  AttemptResult result = AttemptResult::kDone;
  /** Another upstream that caused the failure; 0 for none. */
  UpstreamKey faulty_upstream = 0;
};

/** Announces that the sender is shutting down. */
struct LeaveMessage {};

/** Evidence on the requests that crash upstreams. */
struct CrashEvidenceMessage {
  CrashEvidence evidence;
  /** Whether the receiver is to reply with its own evidence if that still
      differs from the sender's. */
  bool wants_reply = false;
};

/** Relation of an instance to the source, where configuration and upstream
    registrations are watched. */
enum class SourceState {
  /** The instance receives changes from other instances. */
  kPassive,
  /** The instance watches the source, and the source responds. */
  kWatching,
  /** The source does not respond to the instance. */
  kLost,
};

/** One datagram between instances: common header fields and one message.

    @see Membership::FillHeader, EncodePeerMessage */
struct PeerMessage {
  InstanceIp sender = 0;
  /** Newest configuration version that the sender has in force or has seen
      announced; 0 for none. */
  uint64_t configuration_version = 0;
  /** Configuration version in force at the sender; 0 for none. If it is older
      than configuration_version, a receiver reads the version just before. */
  uint64_t configuration_in_force = 0;
  /** Live instances known to the sender, including itself. */
  size_t live_instances = 1;
  /** The sender is shutting down and does not act as a scheduler. */
  bool leaving = false;
  /** Upstream changes known to the sender: all up to the first revision; the
      second is that of the latest change. @see UpstreamChangeLog */
  uint64_t upstreams_complete_until = 0;
  uint64_t upstreams_last_change = 0;
  /** Revision from which on the sender knows every upstream change. Sent with
      the ages below only. */
  uint64_t upstreams_log_begin = 0;
  SourceState source = SourceState::kPassive;
  /** Time since the source last confirmed, to any instance, that it had no
      newer configuration than `configuration_version`, and no upstream change
      after `upstreams_last_change`. Infinite if not known, or if the receiver
      most likely learns it from others. @see Membership::FillHeader */
  absl::Duration configuration_age = absl::InfiniteDuration();
  absl::Duration upstreams_age = absl::InfiniteDuration();
  bool has_ages() const {
    return configuration_age != absl::InfiniteDuration() ||
           upstreams_age != absl::InfiniteDuration();
  }
  /** Groups of upstreams that the sender uses; 0 if it knows no upstreams.
      @see SchedulerGroups */
  uint32_t group_count = 0;
  /** The sender's evidence on crashes. @see CrashingParts::digest */
  uint32_t crash_digest = 0;
  /** Of revision 0 if the sender knows none, or if the receiver most likely
     knows them. @see Membership::RepeatEvacuations */
  Evacuations evacuations;
  bool knows_evacuations = false;
  std::variant<HelloMessage,
               WelcomeMessage,
               SubmitMessage,
               QueuedMessage,
               DecisionMessage,
               ResponseStartedMessage,
               EndedMessage,
               LeaveMessage,
               CrashEvidenceMessage>
      content;
};

/** Size limit of datagrams, in bytes. */
inline constexpr size_t kMaxDatagramBytes = 1400;

/** Returns the wire form of a message. Long lists are truncated; a welcome
    that exceeds kMaxDatagramBytes is sent without its upstream changes. */
std::string EncodePeerMessage(const PeerMessage& message);

/** Parses a datagram; returns nullopt when it is malformed or its message type
    is unknown. */
std::optional<PeerMessage> DecodePeerMessage(absl::string_view bytes);

}  // namespace chicory

#endif  // MODULES_PEERS_PLACEMENT_MESSAGE_H_
