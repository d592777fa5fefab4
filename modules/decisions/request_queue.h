#ifndef MODULES_DECISIONS_REQUEST_QUEUE_H_
#define MODULES_DECISIONS_REQUEST_QUEUE_H_

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "modules/core/strong_id.h"
#include "modules/decisions/request_table.h"

namespace chicory {

/** The requests queued for the upstreams of one pool and model.

    Has one queue for each priority level. Within a level, client accounts share
    by weight (start-time fair queueing), so that a large account cannot starve
    a small one. Not thread-safe. */
class RequestQueue {
 public:
  /** Fair-queueing start tag and id of a request; the order of a level. */
  using Position = std::pair<double, RequestId>;
  using Level = std::set<Position>;

  /** Inserts a request and sets its `queue_tag` and `queue_level`. */
  void Push(RequestRow* row);

  /** Removes a request.
      @returns false when it was not queued */
  bool Remove(const RequestRow& row);

  /** Called after a request was removed because it was placed. Advances the
      virtual time of its level and counts it in the drain rate. */
  void OnPlaced(const RequestRow& row);

  /** Called after each placement round. Updates the drain rate, which is only
      measured while requests are queued: otherwise it would show the demand and
      not the capacity of the upstreams. */
  void OnRoundEnded(absl::Time now);

  /** Returns the queued requests of one level in the order of service. */
  const Level& level(int index) const { return levels_[index]; }

  /** Returns the number of prompt tokens queued at `level` and more urgent
      levels. */
  int64_t TokensAhead(int level) const;

  /** Returns the time to drain what is queued at `level` and more urgent levels
      at the recent rate; zero while the rate is unknown or the backlog is
      small. */
  absl::Duration EstimatedWait(int level) const;

  /** Returns the number of queued requests. */
  size_t size() const { return size_; }

 private:
  struct LevelState {
    /** Start tag of the latest request placed. */
    double virtual_time = 0;
    /** Prompt tokens queued. */
    int64_t tokens = 0;
    /** Finish tag of the last request of each client account. */
    absl::flat_hash_map<std::string, double> account_tags;
  };

  std::array<Level, kPriorityLevels> levels_;
  std::array<LevelState, kPriorityLevels> states_;
  size_t size_ = 0;
  /** Prompt tokens placed per second, smoothed; 0 while unknown. */
  double drain_rate_ = 0;
  double drained_in_window_ = 0;
  /** Start of the measurement window; the infinite past while the queue is
      empty. */
  absl::Time window_start_ = absl::InfinitePast();
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_REQUEST_QUEUE_H_
