#ifndef MODULES_DECISIONS_REQUEST_LIMITS_H_
#define MODULES_DECISIONS_REQUEST_LIMITS_H_

#include <limits>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "modules/decisions/scheduled_upstream.h"

namespace chicory {

/** A limit that an upstream has named in a response. */
struct RequestLimit {
  /** The rate of an upstream that no longer names a limit. */
  static constexpr double kNone = std::numeric_limits<double>::infinity();

  UpstreamKey upstream = 0;
  /** Requests per second that it takes from all instances together. */
  double per_second = kNone;
  /** When the response arrived. */
  absl::Time observed = absl::InfinitePast();
};

/** The request rates to which upstreams have limited all instances together,
    and how much of them a scheduler has used.

    An instance learns of a limit from responses and tells the schedulers of its
    requests; of several observations the newest counts. A scheduler places at
    most the limit, with a token bucket for each limited upstream. The bucket is
    empty when the limit becomes known, because another scheduler may have used
    it up to then, and holds the requests of at most one second. Not
    thread-safe. */
class RequestLimits {
 public:
  /** An upstream says its limit in each response, so a limit that has not been
      observed for so long is forgotten. */
  static constexpr absl::Duration kMemory = absl::Seconds(30);
  /** An upstream gets this many requests per second whatever its limit is;
      otherwise none of its responses could end a limit of 0. */
  static constexpr double kMinRate = 0.25;

  /** Records what a response of an upstream says: its limit, or that there is
      none. A response to a request sent at `sent_at`, before the limit was last
      observed, may be older than the limit and does not end it. Returns whether
      the upstream's limit has changed. */
  bool OnResponse(UpstreamKey upstream,
                  UpstreamIncarnation incarnation,
                  std::optional<double> per_second,
                  absl::Time sent_at,
                  absl::Time now);
  /** Records what another instance has observed. */
  void Merge(const std::vector<RequestLimit>& limits, absl::Time now);

  /** Returns what responses to this instance have said of limits, also of those
      that have ended. What another instance has observed since is left to that
      one to tell, so that its age does not shrink on the way. */
  std::vector<RequestLimit> OwnObservations(absl::Time now) const;
  /** Returns the upstream's limit, RequestLimit::kNone if it has none. */
  double RateOf(UpstreamKey upstream, absl::Time now) const;
  /** Returns whether the upstream may get a request now. */
  bool Allows(UpstreamKey upstream, absl::Time now) const;
  /** Counts a request against the upstream's limit. */
  void OnPlaced(UpstreamKey upstream, absl::Time now);
  /** Returns the number of upstreams with a limit. */
  size_t limited(absl::Time now) const;
  /** Forgets what has not been observed for kMemory. */
  void Expire(absl::Time now);

 private:
  struct Row {
    /** 0 if only other instances have observed the limit. */
    UpstreamIncarnation incarnation = 0;
    /** The newest observation was made here. */
    bool is_own = false;
    double per_second = RequestLimit::kNone;
    absl::Time observed = absl::InfinitePast();
    /** Requests that the upstream may get, as of `counted_at`. */
    double tokens = 0;
    absl::Time counted_at = absl::InfinitePast();
  };

  const Row* Find(UpstreamKey upstream, absl::Time now) const;
  /** Changes the rate of a row and returns whether it differed. */
  static bool SetRate(Row* row, double per_second, absl::Time now);
  static double TokensAt(const Row& row, absl::Time now);

  absl::flat_hash_map<UpstreamKey, Row> rows_;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_REQUEST_LIMITS_H_
