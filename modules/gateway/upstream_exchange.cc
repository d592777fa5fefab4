#include "modules/gateway/upstream_exchange.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "modules/net/loop_time.h"

namespace chicory {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
/** A reused connection that breaks this soon after an attempt started, before
    any byte of a response, had already been closed by the upstream while it was
    idle. */
constexpr absl::Duration kStaleConnectionWindow = absl::Milliseconds(50);

/** Far above any response of a plain service or event of an engine, and below
    what an instance has of memory. */
constexpr size_t kMaxBodyBytes = 8 << 20;
constexpr size_t kMaxEventBytes = 1 << 20;

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

}  // namespace

UpstreamExchange::UpstreamExchange(Options options,
                                   Shared shared,
                                   EventStreamSplitter* events,
                                   Listener* listener)
    : options_(std::move(options)),
      shared_(shared),
      events_(events),
      listener_(listener),
      reservation_(shared.memory, options_.address.ip, this) {}

UpstreamExchange::~UpstreamExchange() {
  Cancel();
}

void UpstreamExchange::Send(std::string request) {
  sent_at_ = SteadyNow();
  reservation_.Begin();
  events_->DropPartialEvent();
  connection_ = shared_.pool.Acquire(options_.upstream, options_.address,
                                     !options_.is_retryable, sent_at_);
  connection_->Exchange(std::move(request), options_.head_only, this);
}

void UpstreamExchange::Cancel() {
  if (connection_)
    connection_->Close();
  connection_.reset();
  UpdateReservation(0);
}

void UpstreamExchange::OnEvicted(const MemoryBudget::Eviction&) {
  boost::asio::post(shared_.pool.loop(), [self = shared_from_this()] {
    if (self->connection_ && self->reservation_.is_evicted()) {
      // The upstream is not at fault.
      self->Fail({.reason = "memory_limit",
                  .is_local = true,
                  .result = AttemptResult::kCancelled});
    }
  });
}

void UpstreamExchange::UpdateReservation(size_t held_bytes) {
  reservation_.Update({.held_bytes = held_bytes,
                       .progress_bytes = received_bytes_,
                       .can_end = true});
}

void UpstreamExchange::PauseReading(bool is_paused) {
  if (connection_)
    connection_->PauseReading(is_paused);
}

void UpstreamExchange::WithdrawUnsent(const char* reason) {
  if (!connection_ || connection_->is_connected())
    return;
  const auto self = shared_from_this();
  Fail({.reason = reason,
        .not_run = true,
        .not_sent = true,
        .result = AttemptResult::kCancelled});
}

void UpstreamExchange::HandOver(EventStreamSplitter* events,
                                Listener* listener) {
  events_ = events;
  listener_ = listener;
}

void UpstreamExchange::ReleaseConnection() {
  if (connection_->IsReusable()) {
    shared_.pool.Release(options_.upstream, std::move(connection_), keep_alive_,
                         SteadyNow());
  }
  Cancel();
}

void UpstreamExchange::Fail(const Failure& failure) {
  Cancel();
  listener_->OnExchangeFailed(failure);
}

void UpstreamExchange::OnResponse(HttpResponseParser& parser) {
  has_response_bytes_ = true;
  if (!parser.has_head())
    return;
  const auto self = shared_from_this();
  if (!has_head_ && !CheckHead(parser.head()))
    return;
  has_head_ = true;
  body_end_.framing = parser.framing();
  body_end_.announced_bytes = parser.announced_length();
  if (is_stream_)
    ProcessStream(parser);
  else
    ProcessCompleteBody(parser);
}

bool UpstreamExchange::CheckHead(const HttpResponseHead& head) {
  const ResponseClassification classification =
      shared_.codec.ClassifyResponse(head, options_.request_id);
  keep_alive_ = classification.keep_alive;
  const UpstreamKey faulty_upstream =
      classification.faulty_address.empty()
          ? 0
          : shared_.directory.KeyOfAddress(classification.faulty_address);
  if (!IsOwnResponse(classification)) {
    Fail({.reason = "answer_to_another_request"});
    return false;
  }
  listener_->OnAnnouncement(classification);
  if (classification.not_run && head.status != kBadRequest) {
    Fail({.reason = "upstream_refused",
          .not_run = true,
          .result = AttemptResult::kFull,
          .faulty_upstream = faulty_upstream});
    return false;
  }
  if (IsSuccess(head.status) && !classification.is_signed) {
    Fail({.reason = "unsigned_answer"});
    return false;
  }
  // Other successes, and what a HEAD request gets, have no events.
  is_stream_ =
      head.status == kOk && options_.expects_stream && !options_.head_only;
  if (options_.resumes_stream && !is_stream_) {
    Fail({.reason = "resume_refused", .faulty_upstream = faulty_upstream});
    return false;
  }
  return true;
}

bool UpstreamExchange::IsOwnResponse(
    const ResponseClassification& classification) const {
  if (classification.owner != ResponseOwner::kUnknown)
    return classification.owner == ResponseOwner::kThisRequest;
  // Only a refusal may omit the id. On a connection that has carried other
  // requests it may be a late copy of one of their refusals, while the upstream
  // runs this request.
  return classification.not_run && !connection_->is_reused();
}

void UpstreamExchange::ProcessStream(HttpResponseParser& parser) {
  const int events_before = events_->events();
  const std::string bytes = parser.TakeBody();
  received_bytes_ += bytes.size();
  events_->Add(bytes);
  const std::string events = events_->TakeEvents();
  body_end_.partial_event_bytes = events_->pending_bytes();
  const bool has_ended = parser.state() == ParseState::kComplete;
  has_events_ |= events_->events() > events_before;
  if (!events.empty())
    listener_->OnEvents(parser.head(), events);
  // The listener may have cancelled the exchange.
  if (!connection_)
    return;
  if (events_->has_foreign_bytes()) {
    Fail({.reason = "stream_foreign_bytes"});
    return;
  }
  if (events_->pending_bytes() > kMaxEventBytes) {
    Fail({.reason = "response_too_large"});
    return;
  }
  UpdateReservation(events_->pending_bytes());
  if (!has_ended)
    return;
  if (IsTruncated()) {
    const bool has_crashed = body_end_.framing == BodyFraming::kConnectionEnd;
    Fail({.reason = "stream_truncated",
          .result =
              has_crashed ? AttemptResult::kCrash : AttemptResult::kFault});
    return;
  }
  // From within the listener, the released connection and its parser may serve
  // another request; hence the copy of the head.
  const HttpResponseHead head = parser.head();
  ReleaseConnection();
  listener_->OnStreamComplete(head);
}

bool UpstreamExchange::IsTruncated() const {
  if (body_end_.partial_event_bytes > 0)
    return true;
  // The end of the connection is no sign of success: it also follows a crash
  // of the upstream before its first event.
  return body_end_.framing == BodyFraming::kConnectionEnd && !has_events_;
}

void UpstreamExchange::ProcessCompleteBody(HttpResponseParser& parser) {
  const std::string bytes = parser.TakeBody();
  received_bytes_ += bytes.size();
  body_.append(bytes);
  const uint64_t expected_bytes =
      std::max<uint64_t>(body_.size(), body_end_.announced_bytes.value_or(0));
  if (!options_.head_only && expected_bytes > kMaxBodyBytes) {
    Fail({.reason = "response_too_large"});
    return;
  }
  UpdateReservation(body_.capacity());
  if (parser.state() != ParseState::kComplete)
    return;
  const HttpResponseHead head = parser.head();
  ReleaseConnection();
  listener_->OnCompleteResponse(head, std::move(body_));
}

void UpstreamExchange::OnFailure(HttpClientConnection::Failure failure) {
  const auto self = shared_from_this();
  const std::shared_ptr<HttpClientConnection> connection =
      std::move(connection_);
  if (failure == HttpClientConnection::Failure::kConnect) {
    Fail({.reason = "no_connection", .not_run = true, .not_sent = true});
    return;
  }
  // The upstream runs, so the request has not crashed it.
  if (failure == HttpClientConnection::Failure::kMalformed) {
    Fail({.reason = "connection_broken"});
    return;
  }
  const bool is_reused = connection->is_reused();
  const bool is_stale = is_reused && !has_response_bytes_ &&
                        SteadyNow() - sent_at_ < kStaleConnectionWindow;
  if (is_stale) {
    Fail({.reason = "kept_connection_stale",
          .kept_connection = true,
          .result = AttemptResult::kCancelled});
  } else {
    Fail({.reason = "connection_broken",
          .kept_connection = is_reused,
          .result = AttemptResult::kCrash});
  }
}

}  // namespace chicory
