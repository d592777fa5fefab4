#ifndef MODULES_GATEWAY_RESPONSE_WATCHDOG_H_
#define MODULES_GATEWAY_RESPONSE_WATCHDOG_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "absl/time/time.h"

namespace chicory {

/** Calls back when a response does not come in time. Belongs to the event
   loop's thread; `on_overdue` holds its owner weakly. */
class ResponseWatchdog {
 public:
  ResponseWatchdog(boost::asio::io_context& loop,
                   std::function<void()> on_overdue);

  /** A response is due at `due`, in place of any before. */
  void Start(absl::Time due);
  /** No response is awaited any more. */
  void Stop();
  /** Whether the response has not come in time. */
  bool IsOverdue(absl::Time now) const { return now >= due_; }

 private:
  boost::asio::steady_timer timer_;
  std::function<void()> on_overdue_;
  /** Held weakly by timer callbacks, which may outlive this object. */
  std::shared_ptr<ResponseWatchdog*> alive_;
  absl::Time due_ = absl::InfiniteFuture();
};

}  // namespace chicory

#endif  // MODULES_GATEWAY_RESPONSE_WATCHDOG_H_
