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

/** The requests that wait for an upstream of one pool and model.

    A queue per priority level; within a level client accounts share by weight
    (start-time fair queueing), so that a large account cannot push a small one
    out. Not thread-safe. */
class RequestQueue {
 public:
  using Position = std::pair<double, RequestId>;
  using Level = std::set<Position>;

  /** Puts a request in its place and sets its tag and level. */
  void Push(RequestRow* row);

  /** Takes a request out; false when it was not queued. */
  bool Remove(const RequestRow& row);

  /** Takes note that a request leaves the queue to run. */
  void OnPlaced(const RequestRow& row);

  /** Takes note of what is left after a round of placement. The drain rate is
      measured only while something waits: otherwise it would show how much was
      asked for, not how much the upstreams can take. */
  void OnRoundEnded(absl::Time now);

  /** The waiting requests of one level, first to go first. */
  const Level& level(int index) const { return levels_[index]; }

  /** Prompt tokens that wait at `level` or above. */
  int64_t TokensAhead(int level) const;

  /** Time to drain what waits at `level` or above at the recent rate; zero
      while no rate is known. */
  absl::Duration EstimatedWait(int level) const;

  /** Requests that wait. */
  size_t size() const { return size_; }

 private:
  struct LevelState {
    double virtual_time = 0;
    int64_t tokens = 0;
    absl::flat_hash_map<std::string, double> account_tags;
  };

  std::array<Level, kPriorityLevels> levels_;
  std::array<LevelState, kPriorityLevels> states_;
  size_t size_ = 0;
  /** Placed prompt tokens a second, smoothed. */
  double drain_rate_ = 0;
  double drained_in_window_ = 0;
  /** Start of the window; the infinite past while nothing waits. */
  absl::Time window_start_ = absl::InfinitePast();
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_REQUEST_QUEUE_H_
