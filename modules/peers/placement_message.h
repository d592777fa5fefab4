#ifndef MODULES_PEERS_PLACEMENT_MESSAGE_H_
#define MODULES_PEERS_PLACEMENT_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>
#include "absl/strings/string_view.h"

#include "absl/time/time.h"
#include "modules/decisions/fleet_scheduler.h"
#include "modules/decisions/instance_roster.h"
#include "modules/routing/upstream_change_log.h"

namespace chicory {

/** A request as it travels: times are relative to the sending. */
struct RelativeWorkRequest {
  uint64_t sequence = 0;
  std::string service;
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;
  absl::Duration due_in;
  absl::Duration deadline_in;
  absl::Duration event_gap = absl::InfiniteDuration();
  int priority = 0;
  std::vector<UpstreamKey> avoid;
  uint32_t group = 0;
  uint64_t fingerprint = 0;

  static RelativeWorkRequest From(const WorkRequest& request, absl::Time now);
  WorkRequest ToRequest(InstanceIp owner, absl::Time now) const;
};

/** Tells a scheduler that the sender lives, and what it has running. */
struct HelloMessage {
  struct Item {
    RelativeWorkRequest work;
    UpstreamKey upstream = 0;
    bool response_started = false;
  };
  std::vector<Item> running;
  /** Requests that run; more than are listed when the list was shortened. */
  size_t total = 0;
  /** Whether a WelcomeMessage is awaited. */
  bool wants_welcome = true;
};

/** Answers a HelloMessage with the live instances. */
struct WelcomeMessage {
  std::vector<InstanceRoster::Member> members;
  /** A part of the upstream changes that the other is missing. */
  std::optional<UpstreamBatch> missed;
};

/** Asks a scheduler for an upstream; repeated until it answers. */
struct SubmitMessage {
  RelativeWorkRequest work;
};

/** The scheduler knows the request, which waits. */
struct QueuedMessage {
  uint64_t sequence = 0;
};

/** The scheduler's decision. */
struct DecisionMessage {
  ScheduleDecision decision;
};

/** The first part of the answer has come. */
struct ResponseStartedMessage {
  uint64_t sequence = 0;
};

/** A send has ended. */
struct EndedMessage {
  uint64_t sequence = 0;
  AttemptResult result = AttemptResult::kDone;
  /** Another upstream that is to blame; 0 for none. */
  UpstreamKey faulty_upstream = 0;
};

/** The sender is leaving. */
struct LeaveMessage {};

/** What an instance has to do with the source of configuration and upstreams.
 */
enum class SourceState {
  /** It gets changes from other instances. */
  kPassive,
  /** It watches the source, which answers. */
  kWatching,
  /** The source does not answer it. */
  kLost,
};

/** One datagram between instances. */
struct PeerMessage {
  InstanceIp sender = 0;
  /** Version of the configuration that the sender has; 0 for none. */
  uint64_t configuration_version = 0;
  /** Live instances that the sender knows, itself included. */
  size_t live_instances = 1;
  /** The sender is leaving and schedules for nobody. */
  bool leaving = false;
  /** What the sender knows of the upstreams. @see UpstreamChangeLog */
  uint64_t upstreams_complete_until = 0;
  uint64_t upstreams_last_change = 0;
  SourceState source = SourceState::kPassive;
  std::variant<HelloMessage,
               WelcomeMessage,
               SubmitMessage,
               QueuedMessage,
               DecisionMessage,
               ResponseStartedMessage,
               EndedMessage,
               LeaveMessage>
      content;
};

/** Largest datagram that is sent, in bytes. */
inline constexpr size_t kMaxDatagramBytes = 1400;

/** The bytes of a message. Lists that would exceed kMaxDatagramBytes are
    shortened or left out. */
std::string EncodePeerMessage(const PeerMessage& message);

/** Reads a datagram; nothing when it is no message of this version. */
std::optional<PeerMessage> DecodePeerMessage(absl::string_view bytes);

}  // namespace chicory

#endif  // MODULES_PEERS_PLACEMENT_MESSAGE_H_
