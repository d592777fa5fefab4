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

/** How a call ended. */
struct HttpCallResult {
  /** A whole response came; otherwise the call may or may not have arrived. */
  bool has_response = false;
  int status = 0;
  std::string body;
};

/** Makes one call after another to one server over a kept connection. Belongs
    to the event loop's thread. */
class HttpClient : private HttpClientConnection::Listener {
 public:
  using Done = std::function<void(HttpCallResult)>;

  HttpClient(boost::asio::io_context& loop, Endpoint server);
  ~HttpClient() override;

  /** One call. */
  struct Request {
    std::string method = "GET";
    std::string target;
    /** Further lines of the head, each with its line end. */
    std::string extra_head;
    /** JSON, or empty. */
    std::string body;
    absl::Duration timeout = absl::Seconds(1);
  };

  /** Calls; `done` runs from the loop, once, unless Cancel comes before it.
      One call at a time. */
  void Call(const Request& request, Done done);
  /** Ends the call under way and the connection, without a callback. */
  void Cancel();
  /** Changes the server from the next call on. */
  void SetServer(Endpoint server);
  bool is_busy() const { return done_ != nullptr; }

 private:
  void OnResponse(HttpResponseParser& parser) override;
  void OnFailure(HttpClientConnection::Failure failure) override;
  void OnTimeout();
  void Finish(HttpCallResult outcome);

  boost::asio::io_context& loop_;
  Endpoint server_;
  boost::asio::steady_timer timer_;
  /** Held weakly by timer callbacks, which may outlive this object. */
  std::shared_ptr<HttpClient*> alive_;
  std::shared_ptr<HttpClientConnection> connection_;
  std::string body_;
  Done done_;
};

}  // namespace chicory

#endif  // MODULES_NET_HTTP_CLIENT_H_
