#ifndef MODULES_GATEWAY_SILENCE_WATCH_H_
#define MODULES_GATEWAY_SILENCE_WATCH_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "absl/time/time.h"

namespace chicory {

/** Calls back when something that is expected stays out. Expecting the next
    thing costs no timer while the last one came early. Belongs to the event
    loop's thread; `on_silence` holds its owner weakly. */
class SilenceWatch {
 public:
  SilenceWatch(boost::asio::io_context& loop, std::function<void()> on_silence);

  /** Something is expected before `due`, in place of what was before. */
  void Expect(absl::Time due);
  /** Nothing is expected any more. */
  void Stop();
  /** Whether what was expected has stayed out. */
  bool IsOverdue(absl::Time now) const { return now >= due_; }

 private:
  void Arm();
  void OnTimer();

  boost::asio::steady_timer timer_;
  std::function<void()> on_silence_;
  /** Held weakly by timer callbacks, which may outlive this object. */
  std::shared_ptr<SilenceWatch*> alive_;
  absl::Time due_ = absl::InfiniteFuture();
  /** When the timer under way ends. */
  absl::Time armed_ = absl::InfiniteFuture();
};

}  // namespace chicory

#endif  // MODULES_GATEWAY_SILENCE_WATCH_H_
