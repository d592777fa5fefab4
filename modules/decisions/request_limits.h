#ifndef MODULES_DECISIONS_REQUEST_LIMITS_H_
#define MODULES_DECISIONS_REQUEST_LIMITS_H_

#include <cstdint>
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

/** How far a scheduler may use the limits of upstreams. */
struct LimitUse {
  /** Whether upstreams with a limit may get work at all. Only one scheduler may
      use the limits that upstreams name. */
  bool allowed = true;
  /** Share of the rate of cold upstreams: while parts of the fleet do not reach
      each other, each has a scheduler, and together they keep the rate. */
  double cold_share = 1;
  /** The same for services of which all upstreams are cold, if `cold_share` is
      0 because the other instances are not known yet. */
  double cold_share_if_all = 1;
  /** Share of the limits that upstreams name, for the same reason. */
  double named_share = 1;
};

/** Shares of the limits of an upstream that a scheduler uses. */
struct LimitShares {
  /** Of the limit that it names. */
  double named = 1;
  /** Of its rate while it is cold. */
  double cold = 1;
};

/** The request rates to which upstreams have limited all instances together,
    and how much of them a scheduler has used: the limits that upstreams name,
   and the rates that cold upstreams take. If both apply, the lower one holds.

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
  /** Sets which of `upstreams` are cold, and their rates. */
  void SetCold(const std::vector<UpstreamSpec>& upstreams);
  /** Lets the buckets of upstreams that have become cold fill from `now` on. To
      be called before decisions are made. */
  void BeginBuckets(absl::Time now);

  /** Returns how much of the upstream's limit a scheduler with `shares` may
      use, RequestLimit::kNone if it has none; the same for the functions
      below. */
  double RateOf(UpstreamKey upstream,
                absl::Time now,
                const LimitShares& shares = {}) const;
  /** Returns whether the upstream may get a request now. */
  bool Allows(UpstreamKey upstream,
              absl::Time now,
              const LimitShares& shares = {}) const;
  /** Counts `requests` against the upstream's limit. */
  void OnPlaced(UpstreamKey upstream,
                absl::Time now,
                const LimitShares& shares = {},
                int requests = 1);
  bool IsCold(UpstreamKey upstream, absl::Time now) const;
  /** Returns the number of upstreams that have named a limit. */
  size_t limited(absl::Time now) const;
  /** Returns the number of cold upstreams. */
  size_t cold(absl::Time now) const;
  /** Returns whether any upstream is known to have a limit or to be cold. */
  bool empty() const { return rows_.empty(); }
  /** Returns how often a cold upstream was left out because it had no turn. */
  int64_t cold_held_back() const { return cold_held_back_; }
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
    /** The rate while it is cold. */
    absl::Time cold_until = absl::InfinitePast();
    double cold_per_second = 0;
    double cold_burst = 1;
    /** Requests that the upstream may get, as of `counted_at`; negative if it
        got more than it may at once. */
    double tokens = 0;
    /** Infinite from SetCold to BeginBuckets. */
    absl::Time counted_at = absl::InfinitePast();

    bool names_limit(absl::Time now) const {
      return now - observed < kMemory && per_second != RequestLimit::kNone;
    }
    bool is_cold(absl::Time now) const { return now < cold_until; }
  };
  /** The rate and the size of a bucket. */
  struct Bucket {
    double rate = RequestLimit::kNone;
    double most = RequestLimit::kNone;
  };

  /** Returns the row of an upstream that is limited or cold; null otherwise. */
  const Row* Find(UpstreamKey upstream, absl::Time now) const;
  /** Changes the rate of a row and returns whether it differed. */
  static bool SetRate(Row* row, double per_second, absl::Time now);
  static Bucket BucketOf(const Row& row,
                         absl::Time now,
                         const LimitShares& shares);
  static double TokensAt(const Row& row,
                         absl::Time now,
                         const LimitShares& shares);

  absl::flat_hash_map<UpstreamKey, Row> rows_;
  bool has_new_buckets_ = false;
  mutable int64_t cold_held_back_ = 0;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_REQUEST_LIMITS_H_
