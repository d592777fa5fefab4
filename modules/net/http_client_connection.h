#ifndef MODULES_NET_HTTP_CLIENT_CONNECTION_H_
#define MODULES_NET_HTTP_CLIENT_CONNECTION_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>

#include "absl/time/time.h"
#include "modules/net/http_message.h"
#include "modules/net/socket_options.h"

namespace chicory {

/** One client connection, with one request on it at a time.

    It belongs to the event loop's thread. Callbacks come from the loop, never
    from within a call, and stop after Close or Detach. */
class HttpClientConnection
    : public std::enable_shared_from_this<HttpClientConnection> {
 public:
  /** Where an exchange stopped without a whole response. */
  enum class Failure {
    /** No connection came about: nothing was sent. */
    kConnect,
    /** The connection ended or sent no HTTP; the request may have arrived. */
    kBroken,
  };

  /** Hears of one exchange. */
  class Listener {
   public:
    virtual ~Listener() = default;
    /** More of the response has been parsed. May Close the connection. */
    virtual void OnResponse(HttpResponseParser& parser) = 0;
    virtual void OnFailure(Failure failure) = 0;
  };

  HttpClientConnection(boost::asio::io_context& loop, Endpoint peer);
  ~HttpClientConnection();
  HttpClientConnection(const HttpClientConnection&) = delete;
  HttpClientConnection& operator=(const HttpClientConnection&) = delete;

  /** Sends `request` and listens for its response, connecting first if need
      be. `head_only`: the response has no body. */
  void Exchange(std::string request, bool head_only, Listener* listener);

  /** Whether another request may follow: the last response is whole, the whole
      request was taken, nothing surplus came and the peer stays. */
  bool IsReusable() const;
  /** Ends the connection at once. No callback follows. */
  void Close();
  /** Leaves the idle connection open without a listener. */
  void Detach() { listener_ = nullptr; }

  /** Whether an exchange has been made on it before this one. */
  bool is_reused() const { return exchanges_ > 1; }
  /** When the last response was whole. */
  absl::Time idle_since() const { return idle_since_; }
  Endpoint peer() const { return peer_; }

 private:
  void Connect();
  void OnConnected(const boost::system::error_code& error);
  void Write();
  void Read();
  void OnBytes(const boost::system::error_code& error, size_t count);
  void Fail(Failure failure);

  static constexpr size_t kReadBytes = 16 << 10;

  boost::asio::io_context& loop_;
  const Endpoint peer_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer connect_timer_;
  Listener* listener_ = nullptr;
  std::optional<HttpResponseParser> parser_;
  std::string request_;
  std::string unread_;
  std::array<char, kReadBytes> bytes_;
  bool connected_ = false;
  bool closed_ = false;
  bool written_ = false;
  bool reading_ = false;
  bool surplus_ = false;
  int exchanges_ = 0;
  absl::Time idle_since_ = absl::InfinitePast();
};

}  // namespace chicory

#endif  // MODULES_NET_HTTP_CLIENT_CONNECTION_H_
