#include "modules/serving/http_api_server.h"

#include <httplib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <thread>
#include <tuple>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/synchronization/mutex.h"

namespace chicory {

namespace {

constexpr int kListenBacklog = 1024;
constexpr size_t kReadBufferBytes = 16 << 10;

/** Bounds the head of a request, and what comes with the chunks of its body
    beyond kMaxFramingFactor bytes for each byte of it. */
constexpr size_t kMaxHeadBytes = 64 << 10;
constexpr size_t kMaxFramingFactor = 8;

constexpr int kContinue = 100;
constexpr int kBadRequest = 400;
constexpr int kTooLarge = 413;
constexpr int kUnavailable = 503;

/** Interval at which a thread that waits for a request checks for a stop. */
constexpr absl::Duration kStopPollInterval = absl::Milliseconds(100);

/** How long a closing connection keeps reading. Closing with unread input would
    send a reset, which can destroy the response on its way. */
constexpr absl::Duration kLingerTimeout = absl::Seconds(1);

/** Returns whether any of `events` occurs on `socket` within `wait`. */
bool Poll(int socket, short events, absl::Duration wait) {
  pollfd entry{.fd = socket, .events = events, .revents = 0};
  const int timeout_ms =
      static_cast<int>(std::max<int64_t>(0, absl::ToInt64Milliseconds(wait)));
  int ready = 0;
  do {
    ready = ::poll(&entry, 1, timeout_ms);
  } while (ready < 0 && errno == EINTR);
  return ready > 0;
}

/** Adapts one connection to the stream interface of the HTTP library. */
class SocketStream : public httplib::Stream, public MemoryBudget::Holder {
 public:
  /** What the connection is doing. */
  enum class Phase { kWaiting, kReading, kHandling };

  SocketStream(int socket, const HttpApiServer::Options& options)
      : socket_(socket), options_(options), buffer_(kReadBufferBytes) {
    if (!options_.memory)
      return;
    const absl::MutexLock lock(&options_.memory->mutex);
    reservation_.emplace(&options_.memory->budget, PeerIp(), this);
  }
  ~SocketStream() override {
    if (!options_.memory)
      return;
    const absl::MutexLock lock(&options_.memory->mutex);
    reservation_.reset();
  }
  SocketStream(const SocketStream&) = delete;
  SocketStream& operator=(const SocketStream&) = delete;

  void OnEvicted(const MemoryBudget::Eviction& eviction) override {
    Interrupt(eviction);
  }

  /** Ends the wait for input, so that the connection closes. May be called from
      any thread. */
  void Interrupt(const MemoryBudget::Eviction& eviction) {
    is_interrupted_ = true;
    ::shutdown(socket_, SHUT_RD);
    if (options_.on_ended)
      options_.on_ended(eviction);
  }

  void SetPhase(Phase phase) {
    phase_since_ns_ = absl::ToUnixNanos(absl::Now());
    phase_ = phase;
  }
  /** Called when the head of a request has been read and is valid. */
  void OnHeadRead(bool announces_body) {
    has_read_head_ = true;
    has_unread_body_ = announces_body;
    SetPhase(Phase::kHandling);
  }
  /** Returns false if the rest of a request may follow: it was malformed, so
      that its end is not known, or nobody has read its body. */
  bool is_at_end_of_request() const {
    return has_read_head_ && !has_unread_body_;
  }
  Phase phase() const { return phase_; }
  absl::Time phase_since() const {
    return absl::FromUnixNanos(phase_since_ns_);
  }
  bool is_interrupted() const { return is_interrupted_; }
  bool has_requests() const { return has_requests_; }

  /** Returns the address of the peer, 0 if it is unknown. */
  uint32_t PeerIp() const {
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    const int result =
        ::getpeername(socket_, reinterpret_cast<sockaddr*>(&address), &length);
    return result == 0 ? ntohl(address.sin_addr.s_addr) : 0;
  }

  /** Reads the body of a request. If that fails, sets the status of `response`
      and returns false. */
  bool ReadBody(const httplib::ContentReader& reader,
                std::string* body,
                httplib::Response* response) {
    SetPhase(Phase::kReading);
    is_reading_body_ = true;
    bool is_too_large = false;
    const bool is_read = reader([&](const char* data, size_t size) {
      is_too_large = size > options_.max_body_bytes - body->size();
      if (is_too_large || is_interrupted_)
        return false;
      body->append(data, size);
      body_bytes_ = body->size();
      Hold(body->capacity(), /*can_end=*/true);
      return true;
    });
    is_reading_body_ = false;
    SetPhase(Phase::kHandling);
    if (is_read && !is_interrupted_) {
      has_unread_body_ = false;
      // The parsed request and the copies for upstreams take about as much
      // twice over.
      Hold(3 * body->capacity(), /*can_end=*/false);
      return true;
    }
    std::string().swap(*body);
    Hold(0, /*can_end=*/false);
    if (is_interrupted_)
      response->status = kUnavailable;
    else if (is_too_large)
      response->status = kTooLarge;
    else if (response->status < kBadRequest)
      response->status = kBadRequest;
    Abort();
    return false;
  }

  /** Resets the state of the previous request and starts the time-out of the
      next one. */
  void BeginRequest() {
    read_deadline_ = absl::Now() + options_.request_timeout;
    discards_library_writes_ = false;
    is_aborted_ = false;
    has_requests_ = true;
    has_read_head_ = false;
    head_bytes_ = 0;
    body_bytes_ = 0;
    framing_bytes_ = 0;
    SetPhase(Phase::kReading);
    if (!options_.memory)
      return;
    const absl::MutexLock lock(&options_.memory->mutex);
    reservation_->Begin();
  }

  /** Called after each request. */
  void EndRequest() {
    Hold(0, /*can_end=*/false);
    SetPhase(Phase::kWaiting);
  }

  bool HasBuffered() const { return begin_ < end_; }

  bool is_readable() const override {
    return HasBuffered() || Poll(socket_, POLLIN, options_.request_timeout);
  }

  bool is_writable() const override {
    return Poll(socket_, POLLOUT, options_.write_timeout);
  }

  ssize_t read(char* data, size_t size) override {
    if (!HasBuffered() && !FillBuffer())
      return -1;
    const size_t count = std::min(size, end_ - begin_);
    if (!IsWithinBounds(count))
      return -1;
    std::copy_n(buffer_.data() + begin_, count, data);
    begin_ += count;
    return static_cast<ssize_t>(count);
  }

  ssize_t write(const char* data, size_t size) override {
    if (discards_library_writes_)
      return static_cast<ssize_t>(size);
    return Send(std::string_view(data, size)) ? static_cast<ssize_t>(size) : -1;
  }

  /** Sends all of `data`. If the caller has disconnected or does not read,
      returns false and causes the connection to be closed. */
  bool Send(std::string_view data) {
    while (!data.empty()) {
      const ssize_t sent = ::send(socket_, data.data(), data.size(),
                                  MSG_NOSIGNAL | MSG_DONTWAIT);
      if (sent > 0) {
        data.remove_prefix(static_cast<size_t>(sent));
        continue;
      }
      if (sent < 0 && errno == EINTR)
        continue;
      if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) &&
          Poll(socket_, POLLOUT, options_.write_timeout)) {
        continue;
      }
      is_aborted_ = true;
      can_write_ = false;
      return false;
    }
    return true;
  }

  void get_remote_ip_and_port(std::string& ip, int& port) const override {
    AddressOf(::getpeername, ip, port);
  }

  void get_local_ip_and_port(std::string& ip, int& port) const override {
    AddressOf(::getsockname, ip, port);
  }

  socket_t socket() const override { return socket_; }

  /** Reads and discards what arrives within `wait`. Returns false if there will
      be no more. */
  bool DiscardInput(absl::Duration wait) {
    if (!Poll(socket_, POLLIN, wait))
      return true;
    ssize_t received = 0;
    do {
      received = ::recv(socket_, buffer_.data(), buffer_.size(), MSG_DONTWAIT);
    } while (received < 0 && errno == EINTR);
    return received > 0 || (received < 0 && errno == EAGAIN);
  }

  /** Discards what the library writes until the next request. */
  void DiscardLibraryWrites() { discards_library_writes_ = true; }
  /** Causes the connection to be closed after the current request. */
  void Abort() { is_aborted_ = true; }
  bool is_aborted() const { return is_aborted_; }
  /** Returns false after a caller has disconnected or did not read. */
  bool can_write() const { return can_write_; }

  /** Sets whether this is the last request on the connection, which its
      response then announces. */
  void set_is_last(bool is_last) { is_last_ = is_last; }
  bool is_last() const { return is_last_; }

 private:
  /** Counts `count` bytes that the library reads, and returns whether it may.
      It keeps all that it reads, without a bound of its own. */
  bool IsWithinBounds(size_t count) {
    if (!options_.memory)
      return true;
    if (!is_reading_body_) {
      head_bytes_ += count;
      return head_bytes_ <= kMaxHeadBytes;
    }
    framing_bytes_ += count;
    return framing_bytes_ <= kMaxHeadBytes + kMaxFramingFactor * body_bytes_;
  }

  void Hold(size_t bytes, bool can_end) {
    if (!options_.memory)
      return;
    const absl::MutexLock lock(&options_.memory->mutex);
    reservation_->Update({.held_bytes = bytes,
                          .progress_bytes = body_bytes_,
                          .can_end = can_end});
  }

  bool FillBuffer() {
    const absl::Duration remaining = read_deadline_ - absl::Now();
    if (remaining <= absl::ZeroDuration() || !Poll(socket_, POLLIN, remaining))
      return false;
    ssize_t received = 0;
    do {
      received = ::recv(socket_, buffer_.data(), buffer_.size(), 0);
    } while (received < 0 && errno == EINTR);
    if (received <= 0)
      return false;
    begin_ = 0;
    end_ = static_cast<size_t>(received);
    return true;
  }

  template <class Function>
  void AddressOf(Function function, std::string& ip, int& port) const {
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    if (function(socket_, reinterpret_cast<sockaddr*>(&address), &length) != 0)
      return;
    const uint32_t host = ntohl(address.sin_addr.s_addr);
    ip = absl::StrCat(host >> 24, ".", (host >> 16) & 255, ".",
                      (host >> 8) & 255, ".", host & 255);
    port = ntohs(address.sin_port);
  }

  int socket_;
  const HttpApiServer::Options& options_;
  std::vector<char> buffer_;
  size_t begin_ = 0;
  size_t end_ = 0;
  absl::Time read_deadline_;
  bool discards_library_writes_ = false;
  bool is_aborted_ = false;
  bool can_write_ = true;
  bool is_last_ = false;
  std::atomic<bool> has_requests_{false};
  bool has_read_head_ = false;
  bool has_unread_body_ = false;
  bool is_reading_body_ = false;
  size_t head_bytes_ = 0;
  size_t body_bytes_ = 0;
  /** Bytes read with the body, which include the body. */
  size_t framing_bytes_ = 0;
  std::optional<MemoryBudget::Reservation> reservation_;
  std::atomic<bool> is_interrupted_{false};
  std::atomic<Phase> phase_{Phase::kWaiting};
  std::atomic<int64_t> phase_since_ns_{absl::ToUnixNanos(absl::Now())};
};

thread_local SocketStream* current_stream = nullptr;

/** A thread pool that starts a thread when a task finds none idle, up to a
    bound. Further tasks wait; `on_full` is called for each of them, and again
    while some are left when a thread has become free. */
class GrowingThreadPool : public httplib::TaskQueue {
 public:
  GrowingThreadPool(size_t max_threads, std::function<void()> on_full)
      : max_threads_(max_threads), on_full_(std::move(on_full)) {}

  /** Returns whether tasks wait for a thread. */
  bool has_waiting() const { return has_waiting_; }

  void enqueue(std::function<void()> task) override {
    bool is_full = false;
    {
      absl::MutexLock lock(&mutex_);
      tasks_.push_back(std::move(task));
      const bool needs_thread = idle_threads_ < tasks_.size();
      is_full = needs_thread && threads_.size() >= max_threads_;
      if (needs_thread && !is_full)
        threads_.emplace_back([this] { RunTasks(); });
      has_waiting_ = is_full;
      tasks_changed_.Signal();
    }
    if (is_full)
      on_full_();
  }

  void shutdown() override {
    std::vector<std::thread> threads;
    {
      absl::MutexLock lock(&mutex_);
      is_stopping_ = true;
      threads.swap(threads_);
      tasks_changed_.SignalAll();
    }
    for (std::thread& thread : threads)
      thread.join();
  }

 private:
  void RunTasks() {
    while (true) {
      std::function<void()> task;
      {
        absl::MutexLock lock(&mutex_);
        ++idle_threads_;
        while (tasks_.empty() && !is_stopping_)
          tasks_changed_.Wait(&mutex_);
        --idle_threads_;
        if (tasks_.empty())
          return;
        task = std::move(tasks_.front());
        tasks_.pop_front();
        has_waiting_ =
            tasks_.size() > idle_threads_ && threads_.size() >= max_threads_;
      }
      if (has_waiting_)
        on_full_();
      task();
    }
  }

  const size_t max_threads_;
  const std::function<void()> on_full_;
  absl::Mutex mutex_;
  absl::CondVar tasks_changed_;
  std::deque<std::function<void()>> tasks_ ABSL_GUARDED_BY(mutex_);
  std::vector<std::thread> threads_ ABSL_GUARDED_BY(mutex_);
  size_t idle_threads_ ABSL_GUARDED_BY(mutex_) = 0;
  std::atomic<bool> has_waiting_{false};
  bool is_stopping_ ABSL_GUARDED_BY(mutex_) = false;
};

}  // namespace

/** The library's server with its loop over the requests of a connection
    replaced, so that handlers can find out whether their caller is still
    connected. */
class HttpApiServer::Impl : public httplib::Server {
 public:
  explicit Impl(const HttpApiServer::Options& options) : options_(options) {
    new_task_queue = [this] {
      pool_ = new GrowingThreadPool(options_.max_threads,
                                    [this] { EndOneForAnother(); });
      return pool_.load();
    };
    // The head has been read; a handler that reads a body says so.
    set_pre_routing_handler(
        [](const httplib::Request& request, httplib::Response&) {
          current_stream->OnHeadRead(AnnouncesBody(request));
          return HandlerResponse::Unhandled;
        });
    set_expect_100_continue_handler(
        [this](const httplib::Request& request, httplib::Response& response) {
          return CheckExpectation(request, &response);
        });
    set_post_routing_handler(
        [](const httplib::Request&, httplib::Response& response) {
          // What follows must not be taken for the next request.
          if (!current_stream->is_at_end_of_request())
            current_stream->Abort();
          if (current_stream->is_aborted())
            AnnounceClose(&response);
        });
    set_payload_max_length(options_.max_body_bytes);
    set_tcp_nodelay(true);
  }

  Result<std::string> Start() {
    const std::vector<std::string> parts =
        absl::StrSplit(options_.listen, absl::MaxSplits(':', 1));
    int port = 0;
    if (parts.size() != 2 || !absl::SimpleAtoi(parts[1], &port))
      return Fail(ErrorCode::kInvalid,
                  "invalid listen address " + options_.listen);
    if (port == 0)
      port = bind_to_any_port(parts[0].c_str());
    else if (!bind_to_port(parts[0].c_str(), port))
      port = -1;
    if (port <= 0)
      return Fail(ErrorCode::kUnavailable, "cannot bind to " + options_.listen);
    ::listen(svr_sock_, kListenBacklog);
    thread_ = std::thread([this] { listen_after_bind(); });
    while (!is_running())
      std::this_thread::yield();
    return absl::StrCat(parts[0], ":", port);
  }

  void Drain() { is_draining_ = true; }

  void StopServing() {
    is_draining_ = true;
    is_stopping_ = true;
    stop();
    if (thread_.joinable())
      thread_.join();
  }

 private:
  bool process_and_close_socket(socket_t socket) override {
    SocketStream stream(socket, options_);
    current_stream = &stream;
    {
      const absl::MutexLock lock(&streams_mutex_);
      streams_.insert(&stream);
    }
    bool succeeded = true;
    bool is_open = true;
    while (is_open && WaitForRequest(stream)) {
      stream.BeginRequest();
      const bool is_last = is_draining_;
      stream.set_is_last(is_last);
      bool should_close = false;
      succeeded = process_request(stream, is_last, should_close, nullptr);
      stream.EndRequest();
      is_open = succeeded && !should_close && !is_last && !stream.is_aborted();
    }
    // The caller may still have to read the response.
    if (!is_open && stream.can_write())
      Linger(&stream);
    current_stream = nullptr;
    {
      const absl::MutexLock lock(&streams_mutex_);
      streams_.erase(&stream);
    }
    ::shutdown(socket, SHUT_RDWR);
    ::close(socket);
    return succeeded;
  }

  /** Returns the status with which a request is answered whose caller waits for
      a `100 Continue` before it sends the body. */
  int CheckExpectation(const httplib::Request& request,
                       httplib::Response* response) const {
    uint64_t length = 0;
    if (!absl::SimpleAtoi(request.get_header_value("Content-Length"),
                          &length) ||
        length <= options_.max_body_bytes) {
      return kContinue;
    }
    response->status = kTooLarge;
    // The caller may send the body all the same.
    current_stream->Abort();
    return kTooLarge;
  }

  static bool AnnouncesBody(const httplib::Request& request) {
    return request.has_header("Transfer-Encoding") ||
           (request.has_header("Content-Length") &&
            request.get_header_value("Content-Length") != "0");
  }

  static void AnnounceClose(httplib::Response* response) {
    response->headers.erase("Keep-Alive");
    response->headers.erase("Connection");
    response->set_header("Connection", "close");
  }

  /** Ends the responses, and discards input until the caller closes, for a
      bounded time. */
  void Linger(SocketStream* stream) const {
    ::shutdown(stream->socket(), SHUT_WR);
    const absl::Time until = absl::Now() + kLingerTimeout;
    while (absl::Now() < until && !IsThreadNeeded() &&
           stream->DiscardInput(kStopPollInterval)) {
    }
  }

  /** Returns whether a connection waits for a thread. */
  bool IsThreadNeeded() const {
    const GrowingThreadPool* pool = pool_;
    return pool && pool->has_waiting();
  }

  /** Ends the connection that is most dispensable, if there is one. */
  void EndOneForAnother() {
    const absl::MutexLock lock(&streams_mutex_);
    const auto rank = [](const SocketStream* stream) {
      return std::make_tuple(stream->has_requests(),
                             stream->phase() != SocketStream::Phase::kWaiting,
                             stream->phase_since());
    };
    SocketStream* first = nullptr;
    for (SocketStream* stream : streams_) {
      const bool is_closable =
          stream->phase() != SocketStream::Phase::kHandling &&
          !stream->is_interrupted();
      if (is_closable && (!first || rank(stream) < rank(first)))
        first = stream;
    }
    if (first) {
      first->Interrupt({.client = first->PeerIp(),
                        .age = absl::Now() - first->phase_since()});
    }
  }

  bool WaitForRequest(const SocketStream& stream) const {
    const absl::Time until = absl::Now() + options_.idle_timeout;
    while (!stream.HasBuffered()) {
      if (Poll(stream.socket(), POLLIN, kStopPollInterval))
        return true;
      if (is_stopping_ || IsThreadNeeded() || absl::Now() >= until)
        return false;
    }
    return true;
  }

  const HttpApiServer::Options options_;
  std::atomic<bool> is_draining_{false};
  std::atomic<bool> is_stopping_{false};
  std::thread thread_;
  /** Owned by the library while it listens. */
  std::atomic<GrowingThreadPool*> pool_{nullptr};
  absl::Mutex streams_mutex_;
  std::set<SocketStream*> streams_ ABSL_GUARDED_BY(streams_mutex_);
};

HttpApiServer::BodyHandler HttpApiServer::WithBody(Handler handler) {
  return [handler = std::move(handler)](const httplib::Request& request,
                                        httplib::Response& response,
                                        const httplib::ContentReader& reader) {
    httplib::Request with_body = request;
    if (current_stream->ReadBody(reader, &with_body.body, &response))
      handler(with_body, response);
  };
}

HttpApiServer::HttpApiServer(const Options& options)
    : impl_(std::make_unique<Impl>(options)) {}

HttpApiServer::~HttpApiServer() {
  Stop();
}

httplib::Server& HttpApiServer::routes() {
  return *impl_;
}

Result<std::string> HttpApiServer::Start() {
  return impl_->Start();
}

void HttpApiServer::Drain() {
  impl_->Drain();
}

void HttpApiServer::Stop() {
  impl_->StopServing();
}

CallerConnection CallerConnection::Current() {
  CallerConnection connection;
  if (current_stream != nullptr)
    connection.socket_ = current_stream->socket();
  return connection;
}

bool CallerConnection::IsDisconnected() const {
  if (socket_ < 0)
    return false;
  char byte = 0;
  const ssize_t received = ::recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (received == 0)
    return true;
  return received < 0 && errno != EAGAIN && errno != EWOULDBLOCK &&
         errno != EINTR;
}

bool ChunkedResponse::Begin(std::string_view content_type) {
  if (current_stream == nullptr)
    return false;
  has_begun_ = true;
  const bool is_sent = current_stream->Send(absl::StrCat(
      "HTTP/1.1 200 OK\r\nContent-Type: ",
      absl::string_view(content_type.data(), content_type.size()),
      "\r\nCache-Control: no-cache\r\nTransfer-Encoding: chunked\r\n",
      current_stream->is_last() ? "Connection: close\r\n" : "", "\r\n"));
  current_stream->DiscardLibraryWrites();
  return is_sent;
}

bool ChunkedResponse::Write(std::string_view data) {
  return current_stream->Send(
      absl::StrCat(absl::Hex(data.size()), "\r\n",
                   absl::string_view(data.data(), data.size()), "\r\n"));
}

bool ChunkedResponse::End() {
  return current_stream->Send("0\r\n\r\n");
}

void ChunkedResponse::Abort() {
  current_stream->Abort();
}

}  // namespace chicory
