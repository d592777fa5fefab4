#include "modules/gateway/silence_watch.h"

#include <utility>

#include "modules/net/loop_time.h"

namespace chicory {

SilenceWatch::SilenceWatch(boost::asio::io_context& loop,
                           std::function<void()> on_silence)
    : timer_(loop),
      on_silence_(std::move(on_silence)),
      alive_(std::make_shared<SilenceWatch*>(this)) {}

void SilenceWatch::Expect(absl::Time due) {
  due_ = due;
  if (armed_ > due_)
    Arm();
}

void SilenceWatch::Stop() {
  due_ = absl::InfiniteFuture();
  armed_ = absl::InfiniteFuture();
  timer_.cancel();
}

void SilenceWatch::Arm() {
  armed_ = due_;
  timer_.expires_at(ToSteady(due_));
  timer_.async_wait([weak = std::weak_ptr<SilenceWatch*>(alive_)](
                        const boost::system::error_code& error) {
    const auto alive = weak.lock();
    if (!error && alive)
      (*alive)->OnTimer();
  });
}

void SilenceWatch::OnTimer() {
  armed_ = absl::InfiniteFuture();
  if (IsOverdue(SteadyNow()))
    on_silence_();
  else if (due_ < absl::InfiniteFuture())
    Arm();
}

}  // namespace chicory
