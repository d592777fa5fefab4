#ifndef MODULES_SERVING_HTTP_API_SERVER_H_
#define MODULES_SERVING_HTTP_API_SERVER_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "modules/core/error.h"

namespace httplib {
class Server;
}  // namespace httplib

namespace chicory {

/** An HTTP server whose handlers know their caller's connection.

    Each connection has a thread, started when it is needed. Threads, request
    sizes, idle times and the time to send a request are bounded. A planned
    stop lets the requests under way finish. */
class HttpApiServer {
 public:
  struct Options {
    /** `ip:port`; port 0 lets the kernel choose. */
    std::string listen;
    size_t max_threads = 512;
    size_t max_body_bytes = 8 << 20;
    /** How long a connection may be idle between requests. */
    absl::Duration idle_timeout = absl::Seconds(15);
    /** How long a caller may take to send one request. */
    absl::Duration request_timeout = absl::Seconds(60);
    /** How long a caller may leave its answer unread. */
    absl::Duration write_timeout = absl::Seconds(10);
  };

  explicit HttpApiServer(const Options& options);
  ~HttpApiServer();

  HttpApiServer(const HttpApiServer&) = delete;
  HttpApiServer& operator=(const HttpApiServer&) = delete;

  /** Where handlers are added; before Start. */
  httplib::Server& routes();

  /** Binds, starts to serve and returns the bound `ip:port`. */
  Result<std::string> Start();

  /** From now on each connection is closed after its next answer, and the
      answer says so: callers come back through the balancer. */
  void Drain();

  /** Stops taking connections and waits for the requests under way. */
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/** The connection of the request that the calling thread handles. */
class CallerConnection {
 public:
  /** The connection of the present handler; invalid outside of one. */
  static CallerConnection Current();

  /** Whether the caller has hung up. Any thread, while the handler runs. */
  bool IsDisconnected() const;

 private:
  friend class ChunkedResponse;
  int socket_ = -1;
};

/** A response that a handler writes piece by piece, having decided on the
    status late. What the library would send after the handler is dropped.
    Only on the handler's thread. */
class ChunkedResponse {
 public:
  /** Sends status 200 and headers for an event stream. */
  bool Begin(std::string_view content_type);

  /** Sends a chunk; false when the caller is gone. */
  bool Write(std::string_view data);

  /** Ends the response as whole. */
  bool End();

  /** Breaks the connection, so that the caller sees that it is not whole. */
  void Abort();

  bool has_begun() const { return has_begun_; }

 private:
  bool has_begun_ = false;
};

}  // namespace chicory

#endif  // MODULES_SERVING_HTTP_API_SERVER_H_
