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

/** One connection of an HttpServer: requests one after another, each with a
    handler of its own. It keeps reading while a request is handled, so that a
    caller who leaves is noticed at once. */
class HttpServerConnection
    : public ResponseWriter,
      public std::enable_shared_from_this<HttpServerConnection> {
 public:
  HttpServerConnection(boost::asio::ip::tcp::socket socket, HttpServer* server);
  ~HttpServerConnection() override;

  void Start();
  /** Whether no request is under way or partly read. */
  bool IsIdle() const;
  /** Ends the connection at once. */
  void Close();

  void SendWhole(int status,
                 const HttpHeaders& headers,
                 const std::string& body) override;
  void BeginStream(int status, const HttpHeaders& headers) override;
  void SendChunk(const std::string& bytes) override;
  void EndStream() override;
  void Abort() override;

 private:
  void Read();
  void OnBytes(const boost::system::error_code& error, size_t count);
  void ParseUnread();
  void StartHandler();
  void RejectBadRequest();
  void NextRequest();
  void Queue(std::string bytes);
  void Flush();
  void OnFlushed(const boost::system::error_code& error);
  void FinishAnswer();
  void Linger();
  void ArmTimer(absl::Duration wait);
  void OnTimeout();
  std::string Head(int status, const HttpHeaders& headers);

  /** Bytes of further requests that are read ahead. */
  static constexpr size_t kMaxReadAhead = 64 << 10;
  /** Bytes of an answer that the caller has not taken yet. */
  static constexpr size_t kMaxUnsent = 4 << 20;
  static constexpr size_t kReadBytes = 16 << 10;

  boost::asio::ip::tcp::socket socket_;
  HttpServer* server_;
  boost::asio::steady_timer timer_;
  std::optional<HttpRequestParser> parser_;
  std::shared_ptr<HttpHandler> handler_;
  std::string unread_;
  std::string unsent_;
  std::string sending_;
  std::array<char, kReadBytes> bytes_;
  bool reading_ = false;
  bool closed_ = false;
  bool streaming_ = false;
  bool answered_ = false;
  bool close_after_ = false;
  bool lingering_ = false;
  bool continued_ = false;
  bool is_head_request_ = false;
};

}  // namespace chicory

#endif  // MODULES_NET_HTTP_SERVER_CONNECTION_H_
