#ifndef MODULES_DECISIONS_LIMIT_SHARE_H_
#define MODULES_DECISIONS_LIMIT_SHARE_H_

#include <cstdint>
#include <optional>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "modules/decisions/request_limits.h"

namespace chicory {

/** Determines which share of the rate of cold upstreams, and of the limits that
    upstreams name, the scheduler at this instance may use. Addresses instances
    that do not reach each other, because of a network partition or because they
    have not found each other: each part of the fleet has a scheduler, and
    together they must keep the limit of an upstream that all reach.

    A scheduler uses the share that the instances make up which it hears itself,
    of all that were known lately. One that has just taken over counts only what
    it hears from then on: the instances on the other side may have been heard
    shortly before. Not thread-safe. */
class LimitShare {
 public:
  /** The instances that an instance knows of. */
  struct Fleet {
    /** Known lately; nullopt if this instance does not know the others yet. */
    std::optional<size_t> all;
    /** The fewest that there are. */
    size_t at_least = 1;
    /** Alive, as reported by any of them; this one included. */
    size_t live = 1;
  };

  /** An instance that knows no other one, and not whether there are any,
      assumes at least so many. */
  static constexpr size_t kAssumedInstances = 20;
  /** An instance counts for this long after its last message. Each sends the
      first scheduler a message every half second; a longer time would let the
      scheduler of the smaller part of the fleet use the whole rate for longer
      after a partition. */
  static constexpr absl::Duration kHeardWithin = absl::Milliseconds(1250);

  /** Called for each message from `instance`. */
  void OnMessage(uint32_t instance, absl::Time now) { heard_[instance] = now; }
  /** Called regularly with whether this instance schedules `group`. */
  void SetSchedules(uint32_t group, bool schedules, absl::Time now);
  /** Returns how far this instance may use the limits of a group's upstreams.
   */
  LimitUse UseOf(uint32_t group, const Fleet& fleet, absl::Time now);

 private:
  /** Returns the number of instances heard lately and since `since`, this one
      included. */
  size_t CountHeard(absl::Time since, absl::Time now);
  /** Returns the share of the limits that upstreams name. */
  static double NamedShare(uint32_t group, const Fleet& fleet, size_t heard);

  absl::flat_hash_map<uint32_t, absl::Time> heard_;
  /** Since when this instance schedules a group. */
  absl::flat_hash_map<uint32_t, absl::Time> schedules_since_;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_LIMIT_SHARE_H_
