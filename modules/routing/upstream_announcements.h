#ifndef MODULES_ROUTING_UPSTREAM_ANNOUNCEMENTS_H_
#define MODULES_ROUTING_UPSTREAM_ANNOUNCEMENTS_H_

#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "modules/decisions/scheduled_upstream.h"

namespace chicory {

/** What upstreams have said of themselves in responses to this instance: that
    they are leaving, or that they want no requests from it for some time.

    An announcement is about one incarnation of an upstream; the next one is not
    bound by it. That an upstream is leaving is believed for kLeavingMemory
    after it was last said, which bounds what a faulty upstream can do. Not
    thread-safe. */
class UpstreamAnnouncements {
 public:
  /** Far more than an upstream needs to leave. */
  static constexpr absl::Duration kLeavingMemory = absl::Minutes(10);

  /** Records that the upstream is leaving. Returns whether that is new. */
  bool OnLeaving(UpstreamKey upstream,
                 UpstreamIncarnation incarnation,
                 absl::Time now);
  /** Records that the upstream wants no requests from this instance for `rest`.
      Of several such times the one that ends last counts. */
  void OnRest(UpstreamKey upstream,
              UpstreamIncarnation incarnation,
              absl::Duration rest,
              absl::Time now);

  /** Returns whether the upstream has said that it is leaving. */
  bool IsLeaving(UpstreamKey upstream,
                 UpstreamIncarnation incarnation,
                 absl::Time now) const;
  /** Returns the time from which on the upstream may be sent requests: in the
      past if it may be now, infinite if it is leaving. */
  absl::Time OpensAt(UpstreamKey upstream,
                     UpstreamIncarnation incarnation,
                     absl::Time now) const;
  /** An incarnation of an upstream that accepts no requests for now. */
  struct Closed {
    UpstreamKey upstream = 0;
    UpstreamIncarnation incarnation = 0;
    /** See OpensAt(). */
    absl::Time opens_at;
  };
  /** Returns all that are closed at `now`; none, as is usual, without a cost.
   */
  std::vector<Closed> ClosedAt(absl::Time now) const;
  /** Returns true if nothing has been announced, as is usual. */
  bool empty() const { return rows_.empty(); }

  /** Removes what is no longer in force. Returns whether an upstream no longer
      counts as leaving. */
  bool Expire(absl::Time now);

 private:
  struct Row {
    UpstreamIncarnation incarnation = 0;
    absl::Time leaving_until = absl::InfinitePast();
    absl::Time rests_until = absl::InfinitePast();
  };
  /** Returns the row of the upstream, emptied if it is of another incarnation.
   */
  Row* RowOf(UpstreamKey upstream, UpstreamIncarnation incarnation);
  const Row* Find(UpstreamKey upstream, UpstreamIncarnation incarnation) const;

  absl::flat_hash_map<UpstreamKey, Row> rows_;
};

}  // namespace chicory

#endif  // MODULES_ROUTING_UPSTREAM_ANNOUNCEMENTS_H_
