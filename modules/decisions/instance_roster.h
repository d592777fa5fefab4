#ifndef MODULES_DECISIONS_INSTANCE_ROSTER_H_
#define MODULES_DECISIONS_INSTANCE_ROSTER_H_

#include <cstdint>
#include <map>
#include <vector>

#include "absl/time/time.h"

namespace chicory {

/** An instance by its IPv4 address, in host order. */
using InstanceIp = uint32_t;

/** The instances that are believed to be alive, and the order in which they
    are asked to schedule.

    All instances order the live ones by the same hash, so that with equal
    beliefs they agree on the first without a message. Not thread-safe. */
class InstanceRoster {
 public:
  /** An instance that nobody has heard for this long is taken as gone. */
  static constexpr absl::Duration kLivenessTimeout = absl::Milliseconds(3000);
  /** How long an instance that did not answer is passed over. */
  static constexpr absl::Duration kSuspicion = absl::Seconds(2);

  explicit InstanceRoster(InstanceIp self) : self_(self) {}

  /** `ip` was heard `age` before `now`, directly or by another instance. */
  void OnLivenessReport(InstanceIp ip, absl::Time now, absl::Duration age);
  /** `ip` itself was heard; ends a suspicion. */
  void OnMessageReceived(InstanceIp ip, absl::Time now);
  /** The source does not answer `ip`, or does again. */
  void SetLostSource(InstanceIp ip, bool lost);
  /** `ip` left a request unanswered. */
  void Suspect(InstanceIp ip, absl::Time now);
  /** `ip` said that it is leaving. */
  void Remove(InstanceIp ip);

  /** Live instances other than this one, with the age of the last news. */
  struct Member {
    InstanceIp ip = 0;
    absl::Duration age;
    bool lost_source = false;
  };
  std::vector<Member> Members(absl::Time now) const;

  /** Up to `count` instances to ask for scheduling, first choice first, this
      one included. Each group of upstreams has an order of its own. */
  std::vector<InstanceIp> SchedulerOrder(absl::Time now,
                                         size_t count,
                                         uint32_t group = 0) const;

  /** Whether this instance is among the first `count` of the order, of those
      that the source answers; `self_lost` tells of this one. When it answers
      none, all count. */
  bool IsAmongFirst(size_t count, bool self_lost, absl::Time now) const;

  /** Live instances, this one included. */
  size_t LiveCount(absl::Time now) const;

 private:
  struct Row {
    absl::Time heard = absl::InfinitePast();
    absl::Time suspected_until = absl::InfinitePast();
    bool lost_source = false;
  };

  InstanceIp self_;
  std::map<InstanceIp, Row> rows_;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_INSTANCE_ROSTER_H_
