#include "modules/gateway/response_watchdog.h"

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
  timer_.expires_at(ToSteady(due));
  timer_.async_wait([weak = std::weak_ptr<ResponseWatchdog*>(alive_)](
                        const boost::system::error_code& error) {
    const auto alive = weak.lock();
    // The callback of an expired timer may already be queued when the timer is
    // stopped or restarted, and is then called without an error.
    if (!error && alive && (*alive)->IsOverdue(SteadyNow()))
      (*alive)->on_overdue_();
  });
}

void ResponseWatchdog::Stop() {
  due_ = absl::InfiniteFuture();
  timer_.cancel();
}

}  // namespace chicory
