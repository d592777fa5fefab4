#ifndef MODULES_NET_HTTP_SERVER_CONNECTION_H_
#define MODULES_NET_HTTP_SERVER_CONNECTION_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>

#include "modules/core/memory_budget.h"
#include "modules/net/http_server.h"

namespace chicory {

/** A connection of an HttpServer. Handles its requests one after another, each
    with its own HttpHandler. It keeps reading while a request is handled, so
    that a disconnect of the caller is detected immediately.

    Must be owned by a std::shared_ptr and only be used on the event loop's
    thread. */
class HttpServerConnection
    : public ResponseWriter,
      public MemoryBudget::Holder,
      public std::enable_shared_from_this<HttpServerConnection> {
 public:
  HttpServerConnection(boost::asio::ip::tcp::socket socket, HttpServer* server);
  ~HttpServerConnection() override;

  /** Starts reading requests. */
  void Start();
  /** Returns true if no request has been received in part, has been in progress
      for `idle_for`, or waits to be read. */
  bool IsIdle(absl::Duration idle_for) const;
  /** Responds with 503 and closes if a request has been received only in part.
   */
  void RefusePartialRequest();
  /** Closes the connection immediately and notifies the current handler. */
  void Close();
  /** How a connection ranks when one has to close so that another can be
      accepted. */
  struct Rank {
    /** Connections in use are not closed. */
    bool is_closable = false;
    /** No byte of a request has been received so far. */
    bool is_unused = false;
    /** Waits for a request rather than for the rest of one. */
    bool is_idle = false;
    absl::Time since;
  };
  Rank rank() const;
  /** Returns whether input waits to be read. */
  bool has_unread_input() const;
  /** Closes the connection, which is closable, so that another can be
      accepted. */
  void CloseForAnother();

  void OnEvicted(const MemoryBudget::Eviction& eviction) override;

  void SendComplete(int status,
                    const HttpHeaders& headers,
                    const std::string& body) override;
  void BeginStream(int status, const HttpHeaders& headers) override;
  void SendChunk(const std::string& bytes) override;
  void EndStream() override;
  void Abort() override;

 private:
  /** Calls `step`. If it throws, closes the connection and throws on. */
  template <class Step>
  void CloseOnException(Step&& step);
  void Read();
  void OnBytes(const boost::system::error_code& error, size_t count);
  /** Parses what was received, of which `bytes` is the last part, and acts on
      it. */
  void ParseReceived(absl::string_view bytes);
  /** Passes what was received to the parser, and keeps what it does not
      consume. Returns the number of bytes consumed. */
  size_t Feed(absl::string_view bytes);
  void StartHandler();
  void RefuseMalformedRequest();
  void AwaitRequest();
  /** Starts to measure the progress of the handled request's response. */
  void BeginResponse();
  void OnWritten(size_t sent);
  void QueueWrite(std::string bytes);
  void Flush();
  void OnFlushed(const boost::system::error_code& error);
  void FinishResponse();
  void Linger();
  void ArmTimer(absl::Duration wait);
  void OnTimeout();
  std::string FormatHead(int status, const HttpHeaders& headers);
  /** Returns whether a request has been received in part. */
  bool is_partly_read() const;
  /** Returns whether a request has been received in part or is in progress. */
  bool has_request() const;
  /** Tells the budget what the connection holds. */
  void UpdateReservation();
  /** Ends what the budget has evicted: refuses a request that was received in
      part, or closes a connection whose caller does not read. */
  void Evict();
  /** Tells the handler whether the caller has fallen behind. */
  void UpdateBacklog();
  /** Releases a request that will not be handled. */
  void DropRequest();

  /** Reading pauses beyond this many bytes of pipelined requests. */
  static constexpr size_t kMaxReadAheadBytes = 64 << 10;
  /** The connection closes beyond this many bytes of a stream that wait to be
      written. */
  static constexpr size_t kMaxUnsentBytes = 4 << 20;
  /** Beyond this many of them the caller has fallen behind. Larger than most
      responses, because upstreams cut off what is not read for some seconds. */
  static constexpr size_t kBacklogBytes = 1 << 20;
  static constexpr size_t kReadBufferBytes = 16 << 10;
  static constexpr size_t kMaxWriteBytes = 64 << 10;

  boost::asio::ip::tcp::socket socket_;
  HttpServer* server_;
  boost::asio::steady_timer timer_;
  absl::Time idle_since_ = absl::InfiniteFuture();
  /** When the first byte of the request was received. */
  absl::Time begun_at_;
  std::optional<HttpRequestParser> parser_;
  std::shared_ptr<HttpHandler> handler_;
  std::string unparsed_;
  std::string unsent_;
  std::string sending_;
  std::array<char, kReadBufferBytes> read_buffer_;
  /** Size of the handled request's body. The copy that is written to an
      upstream does not count: it exists only until it is written. */
  size_t handled_bytes_ = 0;
  uint64_t received_bytes_ = 0;
  /** Bytes of the response that have been written, and those of them that are
      of `sending_`. */
  uint64_t sent_bytes_ = 0;
  size_t sent_of_write_ = 0;
  /** Value of `sent_bytes_` when the budget evicted the response. */
  uint64_t sent_at_eviction_ = 0;
  /** When a write began, or last wrote a byte. */
  absl::Time written_at_;
  MemoryBudget::Reservation reservation_;
  /** The budget has evicted the current message, which has not been ended yet.
   */
  bool eviction_pending_ = false;
  bool has_requests_ = false;
  bool has_backlog_ = false;
  bool reading_ = false;
  bool closed_ = false;
  bool streaming_ = false;
  bool accepts_chunks_ = true;
  bool response_ended_ = false;
  bool close_after_response_ = false;
  bool lingering_ = false;
  bool discards_input_ = false;
  bool continue_sent_ = false;
  bool is_head_request_ = false;
};

}  // namespace chicory

#endif  // MODULES_NET_HTTP_SERVER_CONNECTION_H_
