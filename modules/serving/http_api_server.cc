#include "modules/serving/http_api_server.h"

#include <httplib.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
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
#include "modules/net/http_message.h"
#include "modules/serving/socket_stream.h"

namespace chicory {

namespace {

constexpr int kListenBacklog = 1024;
constexpr int kContinue = 100;
constexpr int kTooLarge = 413;

/** Interval at which a thread that waits for a request checks for a stop. */
constexpr absl::Duration kStopPollInterval = absl::Milliseconds(100);

/** How long a closing connection keeps reading. Closing with unread input would
    send a reset, which can destroy the response on its way. */
constexpr absl::Duration kLingerTimeout = absl::Seconds(1);

/** Stands for a request that cannot be read. */
constexpr char kEmptyRequest[] = "GET / HTTP/1.1\r\n\r\n";

thread_local SocketStream* current_stream = nullptr;
/** Status of the response to a request that is refused because of its head. */
thread_local std::optional<int> refused_status;

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
        [](const httplib::Request& request, httplib::Response& response) {
          if (refused_status) {
            response.status = *refused_status;
            return HandlerResponse::Handled;
          }
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
    bool is_open = true;
    while (is_open && WaitForRequest(stream)) {
      stream.BeginRequest();
      is_open = ServeRequest(&stream);
      stream.EndRequest();
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
    return true;
  }

  /** Receives a request and responds to it. Returns whether the connection
      stays open. */
  bool ServeRequest(SocketStream* stream) {
    if (const auto refusal = stream->ReceiveHead()) {
      Refuse(*refusal, stream);
      return false;
    }
    const bool is_last = is_draining_;
    stream->set_is_last(is_last);
    bool should_close = false;
    return process_request(*stream, is_last, should_close, nullptr) &&
           !should_close && !is_last && !stream->is_aborted();
  }

  /** Responds to a request whose head is not valid, if its caller waits. The
      library writes the response, so that it is that of the routes' error
      handler. */
  void Refuse(const HeadRefusal& refusal, SocketStream* stream) {
    if (!refusal.status)
      return;
    if (options_.on_malformed)
      options_.on_malformed(stream->PeerIp(), *refusal.status, refusal.reason);
    stream->ReplaceHead(kEmptyRequest);
    refused_status = refusal.status;
    bool should_close = true;
    process_request(*stream, /*close_connection=*/true, should_close, nullptr);
    refused_status = std::nullopt;
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
      if (PollSocket(stream.socket(), POLLIN, kStopPollInterval))
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
