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

/** A client connection that carries one HTTP/1.1 exchange at a time.

    Must be owned by a std::shared_ptr and only be used on the event loop's
    thread. Listener callbacks are made from the event loop, never from within a
    member function, and not after Close() or Detach(). */
class HttpClientConnection
    : public std::enable_shared_from_this<HttpClientConnection> {
 public:
  /** Why an exchange ended without a complete response. */
  enum class Failure {
    /** The connection could not be established; nothing was sent. */
    kConnect,
    /** The connection was lost. The server may have received the request. */
    kBroken,
    /** The server sent something that is no response. It may have received the
        request. */
    kMalformed,
  };

  /** Receives the progress of one exchange. */
  class Listener {
   public:
    virtual ~Listener() = default;
    /** Called when more of the response has been parsed. The implementation may
        call Close(). */
    virtual void OnResponse(HttpResponseParser& parser) = 0;
    /** Called when the exchange has failed. The connection is closed. */
    virtual void OnFailure(Failure failure) = 0;
  };

  HttpClientConnection(boost::asio::io_context& loop, Endpoint peer);
  ~HttpClientConnection();
  HttpClientConnection(const HttpClientConnection&) = delete;
  HttpClientConnection& operator=(const HttpClientConnection&) = delete;

  /** Sends `request`, connecting first if necessary, and reports the response
      to `listener`. The previous exchange must be complete.
      @param request    the serialised request
      @param head_only  whether this is a HEAD request, whose response has no
                        body */
  void Exchange(std::string request, bool head_only, Listener* listener);

  /** Stops reading the response while `is_paused`, so that the peer has to
      wait; the end of the connection is then not noticed either. Ends with the
      exchange. */
  void PauseReading(bool is_paused);

  /** Returns true if the connection can carry another exchange: the last
      request was written in full, its response is complete, no bytes followed
      it and the peer keeps the connection open. */
  bool IsReusable() const;
  /** Closes the connection immediately. No callback follows. */
  void Close();
  /** Removes the listener and leaves the idle connection open. It closes when
      the peer closes it or sends anything. */
  void Detach() {
    listener_ = nullptr;
    is_paused_ = false;
  }

  /** Returns whether the connection was established; nothing is sent before. */
  bool is_connected() const { return connected_; }
  /** Returns true if the current exchange is not the connection's first. */
  bool is_reused() const { return exchange_count_ > 1; }
  /** Returns the time, by SteadyNow(), at which the last response was
      complete. */
  absl::Time idle_since() const { return idle_since_; }
  Endpoint peer() const { return peer_; }

 private:
  void Connect();
  void OnConnected(const boost::system::error_code& error);
  void Write();
  void Read();
  /** Returns whether the write of the request has ended, and its handler has
      run. */
  bool is_write_settled() const { return request_written_ || write_failed_; }
  /** Processes an end of file after all handlers that are queued now. A write
      that has met a reset may be among them: its attempt to send took the error
      from the socket, so that the read met an orderly end. */
  void AwaitWriteBeforeEnd();
  /** Calls `step`. If it throws, fails the exchange and throws on. */
  template <class Step>
  void FailOnException(Step&& step);
  void OnBytes(const boost::system::error_code& error, size_t count);
  /** Passes received bytes to the parser, and keeps what it does not
      consume. */
  void Feed(absl::string_view bytes);
  void Fail(Failure failure);

  static constexpr size_t kReadBufferBytes = 16 << 10;

  boost::asio::io_context& loop_;
  const Endpoint peer_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer connect_timer_;
  Listener* listener_ = nullptr;
  std::optional<HttpResponseParser> parser_;
  std::string request_;
  std::string unparsed_;
  std::array<char, kReadBufferBytes> read_buffer_;
  bool connected_ = false;
  bool closed_ = false;
  bool request_written_ = false;
  bool write_failed_ = false;
  bool reading_ = false;
  bool is_paused_ = false;
  bool has_surplus_bytes_ = false;
  int exchange_count_ = 0;
  absl::Time idle_since_ = absl::InfinitePast();
};

}  // namespace chicory

#endif  // MODULES_NET_HTTP_CLIENT_CONNECTION_H_
