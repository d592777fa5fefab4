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
#include "modules/net/http_message.h"
#include "modules/net/socket_options.h"

namespace chicory {

class HttpServerConnection;

/** Takes the answer to one request, whole or in pieces. */
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;
  /** Sends a whole answer. */
  virtual void SendWhole(int status,
                         const HttpHeaders& headers,
                         const std::string& body) = 0;
  /** Sends the head of an answer whose length is not known. */
  virtual void BeginStream(int status, const HttpHeaders& headers) = 0;
  virtual void SendChunk(const std::string& bytes) = 0;
  /** Ends the answer as complete. */
  virtual void EndStream() = 0;
  /** Ends the connection so that the answer is seen to be incomplete. */
  virtual void Abort() = 0;
};

/** Handles one request of a connection. */
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;
  /** The request is whole. `sink` outlives the handling. */
  virtual void Start(HttpRequest request, ResponseWriter* sink) = 0;
  /** The caller's connection is gone; the sink takes nothing more. */
  virtual void OnCallerDisconnected() = 0;
};

/** Serves HTTP/1.1 connections on one address. Belongs to the event loop's
    thread. */
class HttpServer {
 public:
  /** Bounds on one connection, read anew for each request. */
  struct Limits {
    HttpRequestParser::Options parser;
    /** For the head of a request, from its first byte. */
    absl::Duration header_timeout = absl::Seconds(5);
    /** Between requests, and between two parts of a body. */
    absl::Duration idle_timeout = absl::Seconds(30);
  };

  /** What the server serves. */
  class Delegate {
   public:
    virtual ~Delegate() = default;
    virtual std::shared_ptr<HttpHandler> NewHandler() = 0;
    virtual Limits limits() const = 0;
  };

  HttpServer(boost::asio::io_context& loop,
             Delegate* site,
             size_t max_connections);
  ~HttpServer();

  /** Binds and accepts; kUnavailable when the address cannot be had. */
  Result<void> Listen(Endpoint address);
  /** From now on each connection closes after its next answer. */
  void BeginDrain() { draining_ = true; }
  /** Closes the connections on which no request is under way. */
  void CloseIdle();
  void StopAccepting();

  size_t connections() const { return connections_.size(); }
  /** The port in use. */
  uint16_t port() const { return port_; }

 private:
  friend class HttpServerConnection;
  void Accept();
  void AcceptLater();

  boost::asio::io_context& loop_;
  Delegate* site_;
  const size_t max_connections_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  std::set<std::shared_ptr<HttpServerConnection>> connections_;
  uint16_t port_ = 0;
  bool draining_ = false;
};

}  // namespace chicory

#endif  // MODULES_NET_HTTP_SERVER_H_
