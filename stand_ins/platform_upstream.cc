#include "stand_ins/platform_upstream.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <cmath>
#include <optional>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "modules/net/loop_time.h"

namespace chicory {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kMisdirected = 421;
constexpr int kServerError = 500;
constexpr int kUnavailable = 503;

constexpr std::array<std::pair<const char*, UpstreamMode>, 11> kModes = {{
    {"ok", UpstreamMode::kOk},
    {"full", UpstreamMode::kFull},
    {"error", UpstreamMode::kError},
    {"reset", UpstreamMode::kReset},
    {"mute", UpstreamMode::kNoResponse},
    {"break", UpstreamMode::kTruncated},
    {"stall", UpstreamMode::kStalled},
    {"pause", UpstreamMode::kPaused},
    {"unsigned", UpstreamMode::kNoStamp},
    {"foreign", UpstreamMode::kOtherRequestId},
    {"forget", UpstreamMode::kResetNext},
}};

constexpr absl::string_view kLimitField = "Server-Limit";

/** Returns the usable limit in requests per second that `fields` name. */
std::optional<double> NamedLimit(
    const std::vector<std::pair<std::string, std::string>>& fields) {
  std::optional<double> limit;
  for (const auto& [name, value] : fields) {
    double number = 0;
    if (name != kLimitField)
      continue;
    if (!absl::SimpleAtod(value, &number) || !std::isfinite(number) ||
        std::signbit(number))
      return std::nullopt;
    limit = number;
  }
  return limit;
}

}  // namespace

UpstreamMode ParseUpstreamMode(const std::string& name) {
  for (const auto& [known_name, mode] : kModes) {
    if (name == known_name)
      return mode;
  }
  return UpstreamMode::kOk;
}

/** The execution of one request. */
class PlatformUpstream::Execution
    : public HttpHandler,
      public std::enable_shared_from_this<Execution> {
 public:
  explicit Execution(PlatformUpstream* upstream)
      : upstream_(upstream), timer_(upstream->loop_) {
    upstream_->executions_.insert(this);
  }
  ~Execution() override { upstream_->executions_.erase(this); }

  void Start(HttpRequest request, ResponseWriter* writer) override {
    writer_ = writer;
    if (upstream_->mode_ == UpstreamMode::kResetNext) {
      upstream_->mode_ = UpstreamMode::kOk;
      Break();
      return;
    }
    request_ = std::move(request);
    ++upstream_->observations_->arrivals[upstream_->id_];
    if (CrashesUpstreams())
      ++upstream_->observations_->crashing_requests;
    id_ = std::string(request_.headers.Find("Request-Id"));
    upstream_->limit_check_.OnRequest(Gateway(), SteadyNow());
    upstream_->cold_check_.OnRequest(SteadyNow());
    std::vector<std::string>& request_headers =
        upstream_->observations_->request_headers[id_];
    if (!request_headers.empty())
      ++upstream_->observations_->repeats;
    for (const auto& [name, value] : request_.headers.fields())
      request_headers.push_back(absl::StrCat(name, ": ", value));
    if (request_.headers.Find("Expect-Instance") != upstream_->id_) {
      writer_->SendComplete(kMisdirected, Announcements(), "");
      return;
    }
    if (id_.empty()) {
      HttpHeaders headers = Announcements();
      headers.Add("Not-Executed", "1");
      writer_->SendComplete(kBadRequest, headers, "");
      return;
    }
    if (upstream_->mode_ == UpstreamMode::kFull) {
      HttpHeaders headers = Announcements();
      headers.Add("Request-Id", id_);
      headers.Add("Not-Executed", "1");
      writer_->SendComplete(kUnavailable, headers, "");
      return;
    }
    ++upstream_->observations_->executions[id_];
    const std::string last_event_id(request_.headers.Find("Last-Event-Id"));
    if (!last_event_id.empty() && absl::SimpleAtoi(last_event_id, &next_event_))
      ++next_event_;
    ScheduleNext(upstream_->event_interval_ms_);
  }

  /** Breaks the connection unless the execution has ended. */
  void Break() {
    if (ended_)
      return;
    ended_ = true;
    timer_.cancel();
    writer_->Abort();
  }

  void OnCallerDisconnected() override {
    if (!ended_)
      ++upstream_->observations_->disconnects;
    ended_ = true;
    timer_.cancel();
  }

 private:
  bool CrashesUpstreams() const {
    const std::string& target = upstream_->crashing_target_;
    return HoldsCrashingPart() ||
           (!target.empty() && request_.target == target);
  }

  /** Returns whether a part of the prompt, but the last, crashes upstreams. */
  bool HoldsCrashingPart() const {
    const std::string& part = upstream_->crashing_part_;
    const std::string parts(request_.headers.Find("Prefix-Hash"));
    return !part.empty() &&
           absl::StrContains(parts.substr(0, parts.rfind(',')), part);
  }

  void ScheduleNext(int milliseconds) {
    timer_.expires_after(std::chrono::milliseconds(milliseconds));
    timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (!error && !self->ended_)
            self->SendNext();
        });
  }

  /** Returns the name of the gateway, with which its request ids begin. */
  std::string Gateway() const { return id_.substr(0, id_.find('-')); }

  /** Returns the announcements for the head of a response that is sent now. */
  HttpHeaders Announcements() const {
    // A gateway believes only responses to its own requests.
    const bool is_believed = upstream_->mode_ != UpstreamMode::kOtherRequestId;
    if (is_believed)
      upstream_->limit_check_.OnResponse(Gateway(), SteadyNow());
    HttpHeaders headers;
    for (const auto& [name, value] : upstream_->announcements_)
      headers.Add(name, value);
    return headers;
  }

  HttpHeaders Headers() const {
    HttpHeaders headers = Announcements();
    const bool is_other_id = upstream_->mode_ == UpstreamMode::kOtherRequestId;
    headers.Add("Request-Id", is_other_id ? "other" : id_);
    if (upstream_->mode_ != UpstreamMode::kNoStamp)
      headers.Add("Response-Stamp", upstream_->id_);
    headers.Add("Keep-Alive", "timeout=5");
    return headers;
  }

  void SendNext() {
    if (!stream_started_ && CrashesUpstreams()) {
      upstream_->Crash();
      return;
    }
    switch (upstream_->mode_) {
      case UpstreamMode::kNoResponse:
        return;
      case UpstreamMode::kReset:
        Break();
        return;
      case UpstreamMode::kError:
        ended_ = true;
        writer_->SendComplete(kServerError, Headers(), "failed");
        return;
      case UpstreamMode::kOk:
      case UpstreamMode::kFull:
      case UpstreamMode::kTruncated:
      case UpstreamMode::kStalled:
      case UpstreamMode::kPaused:
      case UpstreamMode::kNoStamp:
      case UpstreamMode::kOtherRequestId:
      case UpstreamMode::kResetNext:
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
    if (upstream_->mode_ != UpstreamMode::kTruncated) {
      writer_->SendComplete(kOk, Headers(), body);
      return;
    }
    writer_->BeginStream(kOk, Headers());
    writer_->SendChunk(body.substr(0, body.size() / 2));
    AbortAfterFlush();
  }

  /** Closes the connection after 5 ms, so that the bytes sent so far reach the
      client first. */
  void AbortAfterFlush() {
    ended_ = true;
    timer_.expires_after(std::chrono::milliseconds(5));
    timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (!error)
            self->writer_->Abort();
        });
  }

  void SendEvent() {
    if (!stream_started_) {
      HttpHeaders headers = Headers();
      headers.Add("Content-Type", "text/event-stream");
      writer_->BeginStream(kOk, headers);
      stream_started_ = true;
    }
    const std::string event =
        absl::StrCat("id: ", next_event_, "\ndata: token", next_event_, "\n\n");
    if (upstream_->mode_ == UpstreamMode::kTruncated && next_event_ == 1) {
      writer_->SendChunk(event.substr(0, event.size() / 2));
      AbortAfterFlush();
      return;
    }
    writer_->SendChunk(event);
    if (upstream_->mode_ == UpstreamMode::kStalled && next_event_ == 1)
      return;
    const bool pauses =
        upstream_->mode_ == UpstreamMode::kPaused && next_event_ == 1;
    if (++next_event_ < kEvents) {
      ScheduleNext(pauses ? kPauseMs : upstream_->event_interval_ms_);
      return;
    }
    ended_ = true;
    writer_->EndStream();
  }

  PlatformUpstream* upstream_;
  boost::asio::steady_timer timer_;
  ResponseWriter* writer_ = nullptr;
  HttpRequest request_;
  std::string id_;
  int next_event_ = 0;
  bool stream_started_ = false;
  bool ended_ = false;
};

void PlatformUpstream::Crash() {
  ++observations_->crashes;
  std::vector<std::shared_ptr<Execution>> running;
  for (Execution* execution : executions_)
    running.push_back(execution->shared_from_this());
  for (const std::shared_ptr<Execution>& execution : running)
    execution->Break();
  on_crash_();
}

void PlatformUpstream::SetAnnouncements(
    std::vector<std::pair<std::string, std::string>> fields) {
  announcements_ = std::move(fields);
  limit_check_.SetLimit(NamedLimit(announcements_), SteadyNow());
}

void PlatformUpstream::OnNewIncarnation() {
  limit_check_.Restart(SteadyNow());
}

std::shared_ptr<HttpHandler> PlatformUpstream::NewHandler() {
  return std::make_shared<Execution>(this);
}

}  // namespace chicory
