#ifndef MODULES_GATEWAY_RESPONSE_WATCHDOG_H_
#define MODULES_GATEWAY_RESPONSE_WATCHDOG_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "absl/time/time.h"

namespace chicory {

/** Timer that calls `on_overdue` when a response is not received in time. Must
    be used on the event loop's thread. `on_overdue` should refer to the owner
    by a weak_ptr. */
class ResponseWatchdog {
 public:
  ResponseWatchdog(boost::asio::io_context& loop,
                   std::function<void()> on_overdue);

  /** Starts the timer, replacing any earlier `due`. */
  void Start(absl::Time due);
  /** Replaces `due` by a later time without a call to the system, for callers
      that do so often. Has no effect if the timer was not started. */
  void Extend(absl::Time due);
  /** Stops the timer; `on_overdue` is not called after this. */
  void Stop();
  /** Whether the timer was started and `due` has been reached. */
  bool IsOverdue(absl::Time now) const { return now >= due_; }

 private:
  /** Waits until `due_`. */
  void Wait();

  boost::asio::steady_timer timer_;
  std::function<void()> on_overdue_;
  /** Referenced weakly by timer callbacks, which may outlive this object. */
  std::shared_ptr<ResponseWatchdog*> alive_;
  absl::Time due_ = absl::InfiniteFuture();
};

}  // namespace chicory

#endif  // MODULES_GATEWAY_RESPONSE_WATCHDOG_H_
