#ifndef MODULES_NET_HTTP_SERVER_H_
#define MODULES_NET_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <set>
#include <string>

#include "absl/time/time.h"
#include "modules/core/error.h"
#include "modules/core/memory_budget.h"
#include "modules/net/http_message.h"
#include "modules/net/socket_options.h"

namespace chicory {

class HttpServerConnection;

/** Writes the response to one request, either as a whole or as a stream of
    chunks. Calls after the connection has closed have no effect.

    Must only be used on the event loop's thread. */
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;
  /** Sends a complete response, with a Content-Length field where the status
      allows one. The body is omitted for HEAD requests. */
  virtual void SendComplete(int status,
                            const HttpHeaders& headers,
                            const std::string& body) = 0;
  /** Sends the head of a response of unknown length. */
  virtual void BeginStream(int status, const HttpHeaders& headers) = 0;
  /** Sends a chunk of a streamed body. Empty chunks are ignored. */
  virtual void SendChunk(const std::string& bytes) = 0;
  /** Ends a streamed response as complete. */
  virtual void EndStream() = 0;
  /** Closes the connection, so that the caller recognises the response as
      incomplete. */
  virtual void Abort() = 0;
};

/** Handles one request. HttpServer::Delegate supplies a handler for each
    request.

    Called on the event loop's thread. */
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;
  /** Called once with the complete request. `response` remains valid until the
      response has been sent or aborted, or OnCallerDisconnected() is called. */
  virtual void Start(HttpRequest request, ResponseWriter* response) = 0;
  /** Called when the connection closes before the response has been sent,
      except after Abort(). Nothing more can be written to the response. */
  virtual void OnCallerDisconnected() = 0;
  /** Called when the caller has fallen behind in reading a stream, so that no
      more of it should be produced, and when it has caught up. */
  virtual void OnBacklog(bool has_backlog) { (void)has_backlog; }
};

/** An HTTP/1.1 server that listens on one address.

    Must only be used on the event loop's thread. */
class HttpServer {
 public:
  /** Limits of a connection. They are queried again for each request. */
  struct Limits {
    HttpRequestParser::Options parser;
    /** Time from the first byte of a request to the end of its head. */
    absl::Duration header_timeout = absl::Seconds(5);
    /** Longest pause between requests and between reads of a body. */
    absl::Duration idle_timeout = absl::Seconds(30);
  };

  /** What a connection did that had to close for the sake of others. */
  enum class ClosedState {
    /** It waited for a request. */
    kIdle,
    /** A request had been received in part. */
    kPartialRequest,
    /** Its caller did not read the response. */
    kUnreadResponse,
  };

  /** Supplies the request handlers and limits of a server. */
  class Delegate {
   public:
    virtual ~Delegate() = default;
    /** Returns the handler for a new request. */
    virtual std::shared_ptr<HttpHandler> NewHandler() = 0;
    virtual Limits limits() const = 0;
    /** Called when a connection has to close so that memory or connections are
        left for others. Must not use the server. */
    virtual void OnConnectionClosed(const MemoryBudget::Eviction&,
                                    ClosedState) {}
    /** Called when a request from `client`, an IPv4 address, is refused with
        `status` because it cannot be parsed or is over a limit. Must not use
        the server. */
    virtual void OnMalformedRequest(uint32_t client,
                                    int status,
                                    const std::string& reason) {
      (void)client, (void)status, (void)reason;
    }
  };

  /** Numbers of connections that ended, or are ending, in other ways than with
     a response that announced it. */
  struct Closures {
    /** Closed by CloseIdle(). */
    size_t idle = 0;
    /** Refused by RefusePartialRequests(). */
    size_t refused_in_part = 0;
    /** On which input was discarded after the last response: the rest of a
        refused request, or a request that gets no response. */
    size_t input_discarded = 0;
    /** Refused or closed because the memory budget was used up. */
    size_t evicted = 0;
    /** Closed so that another connection could be accepted. */
    size_t for_another = 0;
  };

  /** Creates a server that is not yet listening. Beyond `max_connections`, the
      connection closes that has waited longest for a request or, if none waits,
      for the rest of one; if all are in use, the new one closes. What is held
      for callers counts towards `budget`, if there is one. `delegate` and
      `budget` must outlive the server. */
  HttpServer(boost::asio::io_context& loop,
             Delegate* delegate,
             size_t max_connections,
             MemoryBudget* budget = nullptr);
  ~HttpServer();

  /** Starts accepting connections on `address`. Fails with kUnavailable if the
      address cannot be bound. */
  Result<void> Listen(Endpoint address);
  /** Makes each response from now on announce that its connection closes. A
      connection whose response was already under way closes after its next one,
      or by CloseIdle(): until then the caller may send a request. */
  void BeginDrain() { draining_ = true; }
  /** Closes the connections on which no request has been received in part, has
      been in progress for `idle_for`, or waits to be read. */
  void CloseIdle(absl::Duration idle_for);
  /** Responds with 503 to the requests that have been received only in part,
      whose connections then close. */
  void RefusePartialRequests();
  /** Closes the listening socket. Existing connections are unaffected, and so
      are those that the kernel has already completed. */
  void StopAccepting();

  /** Returns the number of open connections. */
  size_t connections() const { return connections_.size(); }
  const Closures& closures() const { return closures_; }
  /** Returns the local port. If Listen() was given port 0, the system has
      chosen it. */
  uint16_t port() const { return port_; }

 private:
  friend class HttpServerConnection;
  void Accept();
  /** Serves a connection, or closes it if there are too many. */
  void Serve(boost::asio::ip::tcp::socket socket);
  void ScheduleAccept();
  /** Closes the connection that is most dispensable. Returns false if all are
      in use. */
  bool CloseOneForAnother();

  boost::asio::io_context& loop_;
  Delegate* delegate_;
  const size_t max_connections_;
  MemoryBudget* const budget_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  std::set<std::shared_ptr<HttpServerConnection>> connections_;
  Closures closures_;
  uint16_t port_ = 0;
  bool draining_ = false;
};

}  // namespace chicory

#endif  // MODULES_NET_HTTP_SERVER_H_
