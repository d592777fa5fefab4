#ifndef STAND_INS_REQUEST_LIMIT_CHECK_H_
#define STAND_INS_REQUEST_LIMIT_CHECK_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace chicory {

/** Counts the requests that an upstream gets while it names a limit in its
    responses, and compares them with what the limit allows.

    In any window of kWindow that ends kGrace or later after the first response
    with the limit, the gateways may send at most 1.5 times the limit plus
    kBurst requests. A gateway counts from kDelay after its first response with
    the limit. */
class RequestLimitCheck {
 public:
  static constexpr absl::Duration kWindow = absl::Seconds(4);
  static constexpr absl::Duration kGrace = absl::Seconds(3);
  static constexpr absl::Duration kDelay = absl::Milliseconds(500);
  static constexpr double kTolerance = 1.5;
  static constexpr int kBurst = 5;

  /** What was seen while the upstream named one limit. */
  struct Period {
    /** Requests per second. */
    double limit = 0;
    /** Most requests that a window may hold. */
    double allowed = 0;
    /** Most requests in a window, from gateways that knew the limit. */
    int worst = 0;
    /** Most requests in a window, from all gateways. */
    int worst_of_all = 0;
    /** Requests from all gateways since the first response with the limit. */
    int requests = 0;
    /** First response with the limit; infinite if none was sent. */
    absl::Time first_named = absl::InfiniteFuture();
    /** Infinite while the limit is named. */
    absl::Time end = absl::InfiniteFuture();
  };

  /** Begins a period in which responses name `limit` in requests per second, or
      ends the current one if it is nullopt. */
  void SetLimit(std::optional<double> limit, absl::Time now);
  /** Begins a new period with the same limit, for another incarnation. */
  void Restart(absl::Time now);
  /** Called for each request from `gateway`. */
  void OnRequest(const std::string& gateway, absl::Time now);
  /** Called when a response that names the limit is sent to `gateway`. */
  void OnResponse(const std::string& gateway, absl::Time now);

  const std::vector<Period>& periods() const { return periods_; }

 private:
  /** The arrivals of the last kWindow, the oldest first. */
  class Window {
   public:
    /** Adds an arrival and returns the number of arrivals in the window that
        ends with it. */
    int Add(absl::Time now);

   private:
    std::deque<absl::Time> arrivals_;
  };

  bool IsTold(const std::string& gateway, absl::Time now) const;

  std::vector<Period> periods_;
  bool is_named_ = false;
  /** First response with the limit to each gateway, in this period. */
  absl::flat_hash_map<std::string, absl::Time> told_;
  Window told_window_;
  Window window_;
};

}  // namespace chicory

#endif  // STAND_INS_REQUEST_LIMIT_CHECK_H_
