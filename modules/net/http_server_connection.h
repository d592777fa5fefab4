#ifndef MODULES_NET_HTTP_SERVER_CONNECTION_H_
#define MODULES_NET_HTTP_SERVER_CONNECTION_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>

#include "modules/net/http_server.h"

namespace chicory {

/** A connection of an HttpServer. Handles its requests one after another, each
    with its own HttpHandler. It keeps reading while a request is handled, so
    that a disconnect of the caller is detected immediately.

    Must be owned by a std::shared_ptr and only be used on the event loop's
    thread. */
class HttpServerConnection
    : public ResponseWriter,
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
  void ParseReceived();
  void StartHandler();
  void RefuseMalformedRequest();
  void AwaitRequest();
  void QueueWrite(std::string bytes);
  void Flush();
  void OnFlushed(const boost::system::error_code& error);
  void FinishResponse();
  void Linger();
  void ArmTimer(absl::Duration wait);
  void OnTimeout();
  std::string FormatHead(int status, const HttpHeaders& headers);

  /** Reading pauses beyond this many bytes of pipelined requests. */
  static constexpr size_t kMaxReadAheadBytes = 64 << 10;
  /** The connection closes beyond this many response bytes that wait to be
      written. */
  static constexpr size_t kMaxUnsentBytes = 4 << 20;
  static constexpr size_t kReadBufferBytes = 16 << 10;

  boost::asio::ip::tcp::socket socket_;
  HttpServer* server_;
  boost::asio::steady_timer timer_;
  absl::Time idle_since_ = absl::InfiniteFuture();
  std::optional<HttpRequestParser> parser_;
  std::shared_ptr<HttpHandler> handler_;
  std::string unparsed_;
  std::string unsent_;
  std::string sending_;
  std::array<char, kReadBufferBytes> read_buffer_;
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
