#include "modules/gateway/configuration_wait.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "modules/gateway/request_handler.h"
#include "modules/net/loop_time.h"

namespace chicory {

/** Holds one request. */
class ConfigurationWait::Handler
    : public HttpHandler,
      public std::enable_shared_from_this<Handler> {
 public:
  explicit Handler(ConfigurationWait* wait)
      : state_(wait->state_), wait_(wait), timer_(wait->state_->loop) {}

  void Start(HttpRequest request, ResponseWriter* writer) override {
    arrived_ = SteadyNow();
    request_ = std::move(request);
    writer_ = writer;
    const bool may_hold =
        !state_->drain.has_begun() && wait_->held_.size() < kMaxHeld;
    if (state_->table || !may_hold || !wait_->plan_->IsExpected(arrived_)) {
      PassOn();
      return;
    }
    is_held_ = true;
    wait_->held_.push_back(weak_from_this());
    timer_.expires_after(absl::ToChronoNanoseconds(kMaxHold));
    timer_.async_wait(
        [weak = weak_from_this()](const boost::system::error_code& error) {
          const auto self = weak.lock();
          if (!error && self)
            self->PassOn();
        });
  }

  void OnCallerDisconnected() override {
    timer_.cancel();
    writer_ = nullptr;
    if (handler_)
      handler_->OnCallerDisconnected();
  }

  /** Passes the request on, unless that has been done or the caller has
      disconnected. */
  void PassOn() {
    if (!writer_ || handler_)
      return;
    const auto self = shared_from_this();
    timer_.cancel();
    if (is_held_) {
      state_->log.Write(
          "request_held",
          {{"request", state_->codec.ReadRequest(request_).id},
           {"held_ms", absl::ToInt64Milliseconds(SteadyNow() - arrived_)},
           {"outcome", state_->table ? "passed_on" : "refused"}});
    }
    handler_ = std::make_shared<RequestHandler>(state_, arrived_);
    handler_->Start(std::move(request_), writer_);
  }

 private:
  GatewayState* state_;
  ConfigurationWait* wait_;
  boost::asio::steady_timer timer_;
  HttpRequest request_;
  ResponseWriter* writer_ = nullptr;
  absl::Time arrived_;
  bool is_held_ = false;
  std::shared_ptr<RequestHandler> handler_;
};

std::shared_ptr<HttpHandler> ConfigurationWait::NewHandler() {
  return std::make_shared<Handler>(this);
}

void ConfigurationWait::Release() {
  for (const std::weak_ptr<Handler>& held : std::exchange(held_, {})) {
    // Each from the event loop, so that a failure affects one request only.
    boost::asio::post(state_->loop, [held] {
      if (const auto handler = held.lock())
        handler->PassOn();
    });
  }
}

}  // namespace chicory
