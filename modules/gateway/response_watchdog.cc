#include "modules/gateway/response_watchdog.h"

#include <algorithm>
#include <utility>

#include "modules/net/loop_time.h"

namespace chicory {

ResponseWatchdog::ResponseWatchdog(boost::asio::io_context& loop,
                                   std::function<void()> on_overdue)
    : timer_(loop),
      on_overdue_(std::move(on_overdue)),
      alive_(std::make_shared<ResponseWatchdog*>(this)) {}

void ResponseWatchdog::Start(absl::Time due) {
  due_ = due;
  Wait();
}

void ResponseWatchdog::Extend(absl::Time due) {
  if (due_ != absl::InfiniteFuture())
    due_ = std::max(due_, due);
}

void ResponseWatchdog::Wait() {
  timer_.expires_at(ToSteady(due_));
  timer_.async_wait([weak = std::weak_ptr<ResponseWatchdog*>(alive_)](
                        const boost::system::error_code& error) {
    const auto alive = weak.lock();
    if (error || !alive)
      return;
    // The callback of an expired timer may already be queued when the timer is
    // stopped, restarted or extended, and is then called without an error.
    ResponseWatchdog& watchdog = **alive;
    if (watchdog.IsOverdue(SteadyNow()))
      watchdog.on_overdue_();
    else if (watchdog.due_ != absl::InfiniteFuture())
      watchdog.Wait();
  });
}

void ResponseWatchdog::Stop() {
  due_ = absl::InfiniteFuture();
  timer_.cancel();
}

}  // namespace chicory
