#ifndef MODULES_SERVING_HTTP_API_SERVER_H_
#define MODULES_SERVING_HTTP_API_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "modules/core/error.h"
#include "modules/core/memory_budget.h"
#include "modules/serving/shared_memory_budget.h"

namespace httplib {
class ContentReader;
class Server;
struct Request;
struct Response;
}  // namespace httplib

namespace chicory {

/** An HTTP/1.1 server whose handlers have access to their caller's connection.

    Each open connection occupies one thread of a pool that grows on demand. The
    number of threads, the size of requests, the idle time and the time to
    receive a request are bounded. A graceful shutdown lets requests in progress
    finish. Start, Drain and Stop are called by the owner; handlers run on the
    server's threads.
    @see CallerConnection, ChunkedResponse */
class HttpApiServer {
 public:
  struct Options {
    /** Address to listen on, `ip:port`; port 0 lets the kernel choose. */
    std::string listen;
    /** Maximum number of threads, and thus of connections served at the same
        time. For a further one, the connection ends that has waited longest
        for a request or for the rest of one; if there is none, it waits. */
    size_t max_threads = 512;
    size_t max_body_bytes = 8 << 20;
    /** Time after which a connection without a request is closed. */
    absl::Duration idle_timeout = absl::Seconds(15);
    /** Maximum time to receive one complete request. */
    absl::Duration request_timeout = absl::Seconds(60);
    /** Maximum time that a write may block because the caller does not read. */
    absl::Duration write_timeout = absl::Seconds(10);
    /** For the bodies of requests; null if their sum is not bounded. Must
        outlive the server. */
    SharedMemoryBudget* memory = nullptr;
    /** Called when a connection is ended for the sake of others. */
    std::function<void(const MemoryBudget::Eviction&)> on_ended;
    /** Called when a request from `client`, an IPv4 address, is refused because
        its head cannot be read; runs on any of the server's threads. */
    std::function<void(uint32_t client, int status, const std::string& reason)>
        on_malformed;
  };

  using Handler =
      std::function<void(const httplib::Request&, httplib::Response&)>;
  using BodyHandler = std::function<void(const httplib::Request&,
                                         httplib::Response&,
                                         const httplib::ContentReader&)>;

  explicit HttpApiServer(const Options& options);
  /** Stops the server. */
  ~HttpApiServer();

  HttpApiServer(const HttpApiServer&) = delete;
  HttpApiServer& operator=(const HttpApiServer&) = delete;

  /** Returns the server that handlers are added to. Must be used before Start
      only. */
  httplib::Server& routes();

  /** Returns a handler that reads the body of its request and then calls
      `handler`. To be used for all methods that have a body, also where no
      route matches: the library bounds neither bodies in chunks nor those
      without a length. */
  static BodyHandler WithBody(Handler handler);

  /** Binds, starts to serve and returns the bound `ip:port`. Fails with
      kInvalid if the address is malformed, with kUnavailable if it cannot be
      bound. */
  Result<std::string> Start();

  /** Closes each connection after its next response, which announces this with
      `Connection: close`, so that callers reconnect through the balancer. */
  void Drain();

  /** Stops accepting connections and waits for the requests in progress. */
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/** Refers to the connection over which a request was received. */
class CallerConnection {
 public:
  /** Returns the connection of the handler that runs on the calling thread.
      Outside of a handler the result refers to no connection. */
  static CallerConnection Current();

  /** Returns whether the caller has closed the connection. May be called from
      any thread, as long as the handler runs. */
  bool IsDisconnected() const;

 private:
  friend class ChunkedResponse;
  int socket_ = -1;
};

/** A response with chunked transfer encoding that a handler writes straight to
    the connection.

    The handler may decide late whether it uses one. Once it has begun, the
    response that the library would send after the handler is discarded. To be
    used only on the handler's thread. */
class ChunkedResponse {
 public:
  /** Sends status 200 and the headers. Returns false if there is no connection
      or it could not be written to. */
  bool Begin(std::string_view content_type);

  /** Sends one chunk. Returns false if the caller has disconnected or does not
      read. */
  bool Write(std::string_view data);

  /** Sends the final chunk, which marks the response as complete. */
  bool End();

  /** Closes the connection after the handler without a final chunk, so that the
      caller can tell that the response is incomplete. */
  void Abort();

  bool has_begun() const { return has_begun_; }

 private:
  bool has_begun_ = false;
};

}  // namespace chicory

#endif  // MODULES_SERVING_HTTP_API_SERVER_H_
