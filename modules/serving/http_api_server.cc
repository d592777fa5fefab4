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
#include <thread>
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

/** How often a thread that waits for a request looks whether to stop. */
constexpr absl::Duration kStopPoll = absl::Milliseconds(100);

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

/** The library's view of one connection. */
class SocketStream : public httplib::Stream {
 public:
  SocketStream(int socket, const HttpApiServer::Options& options)
      : socket_(socket), options_(options), buffer_(kReadBufferBytes) {}

  /** Starts the clock of a new request. */
  void BeginRequest() {
    read_deadline_ = absl::Now() + options_.request_timeout;
    is_taken_over_ = false;
    is_aborted_ = false;
  }

  bool HasBuffered() const { return begin_ < end_; }

  bool is_readable() const override {
    return HasBuffered() || Poll(socket_, POLLIN, options_.request_timeout);
  }

  bool is_writable() const override {
    return Poll(socket_, POLLOUT, options_.write_timeout);
  }

  ssize_t read(char* data, size_t size) override {
    if (!HasBuffered() && !Fill())
      return -1;
    const size_t part = std::min(size, end_ - begin_);
    std::copy_n(buffer_.data() + begin_, part, data);
    begin_ += part;
    return static_cast<ssize_t>(part);
  }

  ssize_t write(const char* data, size_t size) override {
    if (is_taken_over_)
      return static_cast<ssize_t>(size);
    return Send(std::string_view(data, size)) ? static_cast<ssize_t>(size) : -1;
  }

  /** Sends all of `data`; false when the caller does not take it. */
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

  void TakeOver() { is_taken_over_ = true; }
  void Abort() { is_aborted_ = true; }
  bool is_aborted() const { return is_aborted_; }

  /** Whether the connection is closed after the present request. */
  void set_is_last(bool is_last) { is_last_ = is_last; }
  bool is_last() const { return is_last_; }

 private:
  bool Fill() {
    const absl::Duration left = read_deadline_ - absl::Now();
    if (left <= absl::ZeroDuration() || !Poll(socket_, POLLIN, left))
      return false;
    ssize_t got = 0;
    do {
      got = ::recv(socket_, buffer_.data(), buffer_.size(), 0);
    } while (got < 0 && errno == EINTR);
    if (got <= 0)
      return false;
    begin_ = 0;
    end_ = static_cast<size_t>(got);
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
  bool is_taken_over_ = false;
  bool is_aborted_ = false;
  bool is_last_ = false;
};

thread_local SocketStream* current_stream = nullptr;

/** Threads that are started when they are needed, up to a bound. */
class ElasticThreads : public httplib::TaskQueue {
 public:
  explicit ElasticThreads(size_t max_threads) : max_threads_(max_threads) {}

  void enqueue(std::function<void()> task) override {
    absl::MutexLock lock(&mutex_);
    tasks_.push_back(std::move(task));
    if (idle_ < tasks_.size() && threads_.size() < max_threads_)
      threads_.emplace_back([this] { Work(); });
    changed_.Signal();
  }

  void shutdown() override {
    std::vector<std::thread> threads;
    {
      absl::MutexLock lock(&mutex_);
      is_stopping_ = true;
      threads.swap(threads_);
      changed_.SignalAll();
    }
    for (std::thread& thread : threads)
      thread.join();
  }

 private:
  void Work() {
    while (true) {
      std::function<void()> task;
      {
        absl::MutexLock lock(&mutex_);
        ++idle_;
        while (tasks_.empty() && !is_stopping_)
          changed_.Wait(&mutex_);
        --idle_;
        if (tasks_.empty())
          return;
        task = std::move(tasks_.front());
        tasks_.pop_front();
      }
      task();
    }
  }

  const size_t max_threads_;
  absl::Mutex mutex_;
  absl::CondVar changed_;
  std::deque<std::function<void()>> tasks_ ABSL_GUARDED_BY(mutex_);
  std::vector<std::thread> threads_ ABSL_GUARDED_BY(mutex_);
  size_t idle_ ABSL_GUARDED_BY(mutex_) = 0;
  bool is_stopping_ ABSL_GUARDED_BY(mutex_) = false;
};

}  // namespace

/** The library's server with a loop over requests of our own, so that handlers
    can tell whether their caller is still there. */
class HttpApiServer::Impl : public httplib::Server {
 public:
  explicit Impl(const HttpApiServer::Options& options) : options_(options) {
    new_task_queue = [this] {
      return new ElasticThreads(options_.max_threads);
    };
    set_payload_max_length(options_.max_body_bytes);
    set_tcp_nodelay(true);
  }

  Result<std::string> Start() {
    const std::vector<std::string> parts =
        absl::StrSplit(options_.listen, absl::MaxSplits(':', 1));
    int port = 0;
    if (parts.size() != 2 || !absl::SimpleAtoi(parts[1], &port))
      return Fail(ErrorCode::kInvalid, "bad address " + options_.listen);
    if (port == 0)
      port = bind_to_any_port(parts[0].c_str());
    else if (!bind_to_port(parts[0].c_str(), port))
      port = -1;
    if (port <= 0)
      return Fail(ErrorCode::kUnavailable, "cannot bind " + options_.listen);
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
    bool is_good = true;
    while (is_good && WaitForRequest(stream)) {
      stream.BeginRequest();
      const bool is_last = is_draining_;
      stream.set_is_last(is_last);
      bool is_closed = false;
      is_good = process_request(stream, is_last, is_closed, nullptr);
      if (is_closed || is_last || stream.is_aborted())
        break;
    }
    current_stream = nullptr;
    ::shutdown(socket, SHUT_RDWR);
    ::close(socket);
    return is_good;
  }

  bool WaitForRequest(const SocketStream& stream) const {
    const absl::Time until = absl::Now() + options_.idle_timeout;
    while (!stream.HasBuffered()) {
      if (Poll(stream.socket(), POLLIN, kStopPoll))
        return true;
      if (is_stopping_ || absl::Now() >= until)
        return false;
    }
    return true;
  }

  const HttpApiServer::Options options_;
  std::atomic<bool> is_draining_{false};
  std::atomic<bool> is_stopping_{false};
  std::thread thread_;
};

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
  const ssize_t got = ::recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (got == 0)
    return true;
  return got < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
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
  current_stream->TakeOver();
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
