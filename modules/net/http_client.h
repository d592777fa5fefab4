#ifndef MODULES_NET_HTTP_CLIENT_H_
#define MODULES_NET_HTTP_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "absl/time/time.h"
#include "modules/net/http_client_connection.h"

namespace chicory {

/** The result of a call. */
struct HttpCallResult {
  /** Whether a complete response was received. If not, the server may or may
      not have processed the request. */
  bool has_response = false;
  int status = 0;
  std::string body;
};

/** An HTTP/1.1 client for small requests to one server. It makes one call at a
    time and reuses its connection where possible.

    Must only be used on the event loop's thread. */
class HttpClient : private HttpClientConnection::Listener {
 public:
  /** Receives the result of a call. */
  using Done = std::function<void(HttpCallResult)>;

  HttpClient(boost::asio::io_context& loop, Endpoint server);
  ~HttpClient() override;

  /** The parameters of a call. */
  struct Request {
    std::string method = "GET";
    std::string target;
    /** Additional header lines, each terminated by CRLF. */
    std::string extra_head;
    /** A JSON document, or empty for a request without a body. */
    std::string body;
    /** Limits the whole call, including the connection's setup. */
    absl::Duration timeout = absl::Seconds(1);
    /** Maximum size of the response's body; the default is far above a list or
        configuration of the largest fleet, and three such bodies fit into the
        smallest instance. */
    size_t max_body_bytes = 8 << 20;
  };

  /** Sends `request`. `done` is called once from the event loop, unless
      Cancel() is called first. No other call may be in progress. */
  void Call(const Request& request, Done done);
  /** Cancels any call in progress, without calling its callback, and closes the
      connection. */
  void Cancel();
  /** Sets the server for subsequent calls. A call in progress is unaffected. */
  void SetServer(Endpoint server);
  /** Returns true while a call is in progress. */
  bool is_busy() const { return done_ != nullptr; }
  /** Returns whether a call is in progress of which nothing was sent, because
      its connection is not yet established. */
  bool is_connecting() const {
    return is_busy() && connection_ && !connection_->is_connected();
  }

 private:
  void OnResponse(HttpResponseParser& parser) override;
  void OnFailure(HttpClientConnection::Failure failure) override;
  void OnTimeout();
  void Finish(HttpCallResult outcome);

  boost::asio::io_context& loop_;
  Endpoint server_;
  boost::asio::steady_timer timer_;
  /** Referenced weakly by timer callbacks, which may outlive this object. */
  std::shared_ptr<HttpClient*> self_;
  std::shared_ptr<HttpClientConnection> connection_;
  std::string body_;
  size_t max_body_bytes_ = 0;
  Done done_;
};

}  // namespace chicory

#endif  // MODULES_NET_HTTP_CLIENT_H_
