#ifndef MODULES_DECISIONS_INSTANCE_ROSTER_H_
#define MODULES_DECISIONS_INSTANCE_ROSTER_H_

#include <cstdint>
#include <map>
#include <vector>

#include "absl/time/time.h"

namespace chicory {

/** The IPv4 address of an instance, in host byte order. */
using InstanceIp = uint32_t;

/** The instances that are considered alive, and the order in which they are
    chosen as scheduler.

    Every instance orders the live ones by the same hash, so that instances with
    the same view choose the same scheduler without exchanging messages. Not
    thread-safe. */
class InstanceRoster {
 public:
  /** An instance counts as live for this long after the last message that any
      instance received from it. */
  static constexpr absl::Duration kLivenessTimeout = absl::Milliseconds(3000);
  /** Time for which an instance that did not respond is suspected and not
      chosen. */
  static constexpr absl::Duration kSuspicionDuration = absl::Seconds(2);

  explicit InstanceRoster(InstanceIp self) : self_(self) {}

  /** Called when `ip` is known to have been alive `age` before `now`, from its
      own messages or from those of another instance. */
  void OnLivenessReport(InstanceIp ip, absl::Time now, absl::Duration age);
  /** Called when a message from `ip` itself has been received. Ends its
      suspicion. */
  void OnMessageReceived(InstanceIp ip, absl::Time now);
  /** Sets whether `ip` has lost the connection to its source. */
  void SetLostSource(InstanceIp ip, bool lost, absl::Time now);
  /** Sets whether `ip` knows upstreams, and so can schedule for others. An
      instance that is known only from others is assumed to. */
  void SetCanSchedule(InstanceIp ip, bool can_schedule);
  /** Called when `ip` did not respond to a request. */
  void Suspect(InstanceIp ip, absl::Time now);
  /** Called when `ip` announced that it leaves. */
  void Remove(InstanceIp ip);

  /** A live instance other than this one. */
  struct Member {
    InstanceIp ip = 0;
    /** Time since it was last known to be alive. */
    absl::Duration age;
    bool lost_source = false;
  };
  /** Returns whether `ip` is a live instance other than this one. */
  bool IsLive(InstanceIp ip, absl::Time now) const;
  /** Returns the live instances other than this one. */
  std::vector<Member> Members(absl::Time now) const;

  /** Returns up to `count` instances to choose as scheduler, most preferred
      first, this one included. Each group of upstreams has its own order. Those
      that cannot schedule come last. */
  std::vector<InstanceIp> SchedulerOrder(absl::Time now,
                                         size_t count,
                                         uint32_t group = 0) const;

  /** Returns up to `count` instances in the order of the first group, whether
      they can schedule or not: an order that all instances share at any
      time. */
  std::vector<InstanceIp> CommonOrder(absl::Time now, size_t count) const;

  /** Returns true if this instance is among the first `count` in the order of
      those that are connected to their source. `self_lost` is true if this
      instance is not. If no instance is connected, all of them count. */
  bool IsAmongFirst(size_t count, bool self_lost, absl::Time now) const;

  /** Returns how many live instances have reported after `since` that they had
      lost the connection to their source, and have not regained it. */
  size_t CountLostSince(absl::Time since, absl::Time now) const;

  /** Returns the number of live instances, this one included. */
  size_t LiveCount(absl::Time now) const;

 private:
  struct Row {
    absl::Time last_seen = absl::InfinitePast();
    absl::Time suspected_until = absl::InfinitePast();
    bool lost_source = false;
    /** When `lost_source` was last set here. */
    absl::Time lost_source_at = absl::InfinitePast();
    bool can_schedule = true;
  };

  /** Returns the first `count` live instances in the order of `group`. With
      `able_first` those that cannot schedule come last. */
  std::vector<InstanceIp> Order(absl::Time now,
                                size_t count,
                                uint32_t group,
                                bool able_first) const;

  InstanceIp self_;
  bool self_can_schedule_ = false;
  std::map<InstanceIp, Row> rows_;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_INSTANCE_ROSTER_H_
