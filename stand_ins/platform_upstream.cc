#include "stand_ins/platform_upstream.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace chicory {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kMisdirected = 421;
constexpr int kServerError = 500;
constexpr int kUnavailable = 503;

constexpr std::array<std::pair<const char*, UpstreamMode>, 9> kModes = {{
    {"ok", UpstreamMode::kOk},
    {"full", UpstreamMode::kFull},
    {"error", UpstreamMode::kError},
    {"reset", UpstreamMode::kReset},
    {"mute", UpstreamMode::kMute},
    {"break", UpstreamMode::kBreak},
    {"unsigned", UpstreamMode::kUnsigned},
    {"foreign", UpstreamMode::kForeign},
    {"forget", UpstreamMode::kForget},
}};

}  // namespace

UpstreamMode UpstreamModeOf(const std::string& name) {
  for (const auto& [known, mode] : kModes) {
    if (name == known)
      return mode;
  }
  return UpstreamMode::kOk;
}

/** One request at the upstream. */
class PlatformUpstream::Run : public HttpHandler,
                              public std::enable_shared_from_this<Run> {
 public:
  explicit Run(PlatformUpstream* upstream)
      : upstream_(upstream), timer_(upstream->loop_) {}

  void Start(HttpRequest request, ResponseWriter* sink) override {
    sink_ = sink;
    if (upstream_->mode_ == UpstreamMode::kForget) {
      upstream_->mode_ = UpstreamMode::kOk;
      ended_ = true;
      sink_->Abort();
      return;
    }
    request_ = std::move(request);
    id_ = std::string(request_.headers.Find("Request-Id"));
    std::vector<std::string>& heads = upstream_->book_->heads[id_];
    for (const auto& [name, value] : request_.headers.fields())
      heads.push_back(absl::StrCat(name, ": ", value));
    if (request_.headers.Find("Expect-Instance") != upstream_->id_) {
      sink_->SendWhole(kMisdirected, {}, "");
      return;
    }
    if (id_.empty()) {
      HttpHeaders headers;
      headers.Add("Not-Executed", "1");
      sink_->SendWhole(kBadRequest, headers, "");
      return;
    }
    if (upstream_->mode_ == UpstreamMode::kFull) {
      HttpHeaders headers;
      headers.Add("Not-Executed", "1");
      sink_->SendWhole(kUnavailable, headers, "");
      return;
    }
    ++upstream_->book_->runs[id_];
    const std::string after(request_.headers.Find("Last-Event-Id"));
    if (!after.empty() && absl::SimpleAtoi(after, &event_))
      ++event_;
    Wait();
  }

  void OnCallerDisconnected() override {
    if (!ended_)
      ++upstream_->book_->left;
    ended_ = true;
    timer_.cancel();
  }

 private:
  void Wait() {
    timer_.expires_after(std::chrono::milliseconds(upstream_->pace_ms_));
    timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (!error && !self->ended_)
            self->Go();
        });
  }

  HttpHeaders Headers() const {
    HttpHeaders headers;
    const bool foreign = upstream_->mode_ == UpstreamMode::kForeign;
    headers.Add("Request-Id", foreign ? "other" : id_);
    if (upstream_->mode_ != UpstreamMode::kUnsigned)
      headers.Add("Response-Stamp", upstream_->id_);
    headers.Add("Keep-Alive", "timeout=5");
    return headers;
  }

  void Go() {
    switch (upstream_->mode_) {
      case UpstreamMode::kMute:
        return;
      case UpstreamMode::kReset:
        ended_ = true;
        sink_->Abort();
        return;
      case UpstreamMode::kError:
        ended_ = true;
        sink_->SendWhole(kServerError, Headers(), "failed");
        return;
      case UpstreamMode::kOk:
      case UpstreamMode::kFull:
      case UpstreamMode::kBreak:
      case UpstreamMode::kUnsigned:
      case UpstreamMode::kForeign:
      case UpstreamMode::kForget:
        break;
    }
    if (request_.headers.Has("Token-Count"))
      SendEvent();
    else
      SendBody();
  }

  void SendBody() {
    ended_ = true;
    const std::string body = absl::StrCat("ran ", request_.method, " ",
                                          request_.target, " ", request_.body);
    if (upstream_->mode_ != UpstreamMode::kBreak) {
      sink_->SendWhole(kOk, Headers(), body);
      return;
    }
    sink_->BeginStream(kOk, Headers());
    sink_->SendChunk(body.substr(0, body.size() / 2));
    AbortSoon();
  }

  /** Aborts once what was sent has had time to leave. */
  void AbortSoon() {
    ended_ = true;
    timer_.expires_after(std::chrono::milliseconds(5));
    timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (!error)
            self->sink_->Abort();
        });
  }

  void SendEvent() {
    if (!begun_) {
      HttpHeaders headers = Headers();
      headers.Add("Content-Type", "text/event-stream");
      sink_->BeginStream(kOk, headers);
      begun_ = true;
    }
    const std::string event =
        absl::StrCat("id: ", event_, "\ndata: token", event_, "\n\n");
    if (upstream_->mode_ == UpstreamMode::kBreak && event_ == 1) {
      sink_->SendChunk(event.substr(0, event.size() / 2));
      AbortSoon();
      return;
    }
    sink_->SendChunk(event);
    if (++event_ < kEvents) {
      Wait();
      return;
    }
    ended_ = true;
    sink_->EndStream();
  }

  PlatformUpstream* upstream_;
  boost::asio::steady_timer timer_;
  ResponseWriter* sink_ = nullptr;
  HttpRequest request_;
  std::string id_;
  int event_ = 0;
  bool begun_ = false;
  bool ended_ = false;
};

std::shared_ptr<HttpHandler> PlatformUpstream::NewHandler() {
  return std::make_shared<Run>(this);
}

}  // namespace chicory
