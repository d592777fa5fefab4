#ifndef MODULES_CALLS_CHECKED_HTTP_CLIENT_H_
#define MODULES_CALLS_CHECKED_HTTP_CLIENT_H_

#include <httplib.h>

#include <cstddef>
#include <functional>
#include <string>

namespace chicory {

/** The HTTP library's client, to which responses are passed only as far as
    HttpResponseParser has accepted them. The library alone takes much for a
    response that is none, or one of another length, and keeps lines without an
    end.

    A call fails if its response is no HTTP, incomplete or larger than the
    limit. Interim responses and trailers are skipped. A connection on which
    bytes follow a response is not used again.

    One request at a time; stop() may be called from another thread.

        CheckedHttpClient client("127.0.0.1:80");
        client.set_max_body_bytes(1 << 20);
        const httplib::Result result = client.Get("/metrics");

    @see HttpResponseParser, HttpClient */
class CheckedHttpClient : public httplib::ClientImpl {
 public:
  /** Far above a list or configuration of the largest fleet. */
  static constexpr size_t kDefaultMaxBodyBytes = 32 << 20;

  /** `address` is `host:port`; the port is 80 if it is missing. */
  explicit CheckedHttpClient(const std::string& address);

  /** Sets the maximum size of a response's body, in bytes, for later calls. */
  void set_max_body_bytes(size_t bytes) { max_body_bytes_ = bytes; }

 private:
  /** Called by the library for each request on an open connection. */
  bool process_socket(
      const Socket& socket,
      std::function<bool(httplib::Stream& stream)> callback) override;

  size_t max_body_bytes_ = kDefaultMaxBodyBytes;
};

}  // namespace chicory

#endif  // MODULES_CALLS_CHECKED_HTTP_CLIENT_H_
