#ifndef MODULES_NET_HTTP_MESSAGE_H_
#define MODULES_NET_HTTP_MESSAGE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>
#include "absl/strings/string_view.h"

namespace chicory {

/** The header fields of a message, in the order in which they came. */
class HttpHeaders {
 public:
  /** Adds a field; the same name may be added more than once. */
  void Add(std::string name, std::string value) {
    fields_.emplace_back(std::move(name), std::move(value));
  }

  /** The value of the first field of that name, without regard to case; an
      empty view when there is none. */
  absl::string_view Find(absl::string_view name) const;

  /** Whether there is a field of that name. */
  bool Has(absl::string_view name) const;

  const std::vector<std::pair<std::string, std::string>>& fields() const {
    return fields_;
  }

 private:
  std::vector<std::pair<std::string, std::string>> fields_;
};

/** True for fields that concern one connection only and are never forwarded.
    `connection` is the value of the message's Connection field, whose tokens
    name further ones. */
bool IsHopByHop(absl::string_view name, absl::string_view connection);

/** A request as it was received; the body is complete. */
struct HttpRequest {
  std::string method;
  /** Path and query as sent, undecoded. */
  std::string target;
  HttpHeaders headers;
  std::string body;
  /** Whether the sender keeps the connection open after the answer. */
  bool keep_alive = true;

  /** The target without its query. */
  absl::string_view path() const;
};

/** The head of a response. */
struct HttpResponseHead {
  int status = 0;
  std::string reason;
  HttpHeaders headers;
  /** Whether the sender keeps the connection open after the answer. */
  bool keep_alive = true;
};

/** The standard reason of a status code. */
std::string HttpReason(int status);

/** How far a parser got. */
enum class ParseState { kNeedMore, kComplete, kBad };

/** Parses one request at a time from a connection's bytes. The bytes of a next
    request are left unread. Not thread-safe.

        HttpRequestParser parser({.max_header_bytes = 16384});
        size_t used = parser.Feed(buffer);
        if (parser.state() == ParseState::kComplete) Handle(parser.Take());
*/
class HttpRequestParser {
 public:
  struct Options {
    size_t max_header_bytes = 16 << 10;
    size_t max_body_bytes = 4 << 20;
  };

  explicit HttpRequestParser(Options options);
  ~HttpRequestParser();
  HttpRequestParser(const HttpRequestParser&) = delete;
  HttpRequestParser& operator=(const HttpRequestParser&) = delete;

  /** Takes what it can of `bytes` and returns how many; the rest is to be fed
      again with what follows. */
  size_t Feed(absl::string_view bytes);

  ParseState state() const { return state_; }
  /** Whether any byte of the request has come. */
  bool started() const { return started_; }
  /** Whether the head is complete and the body is not. */
  bool awaits_body() const;
  /** The head asks for an interim answer before the body is sent. */
  bool expects_continue() const;
  /** The status that answers a bad request: 400, 413 or 431. */
  int error_status() const { return error_status_; }
  /** The request; call once, when complete. */
  HttpRequest Take();

 private:
  struct Impl;
  Options options_;
  std::unique_ptr<Impl> impl_;
  ParseState state_ = ParseState::kNeedMore;
  bool started_ = false;
  int error_status_ = 400;
};

/** Parses one response from a connection's bytes, body parts as they come.
    Interim responses are skipped. Not thread-safe. */
class HttpResponseParser {
 public:
  /** `head_only`: the response to a HEAD request, which has no body. */
  explicit HttpResponseParser(bool head_only);
  ~HttpResponseParser();
  HttpResponseParser(const HttpResponseParser&) = delete;
  HttpResponseParser& operator=(const HttpResponseParser&) = delete;

  /** Takes what it can of `bytes` and returns how many. */
  size_t Feed(absl::string_view bytes);
  /** The connection ended in order; completes a body without a length. */
  void FeedEnd();

  ParseState state() const { return state_; }
  /** Whether the head has come. */
  bool has_head() const { return has_head_; }
  /** Whether any byte of the response has come. */
  bool started() const { return started_; }
  /** The head; valid once has_head(). */
  const HttpResponseHead& head() const { return head_; }
  /** Whether the body ends with the connection. */
  bool ends_with_connection() const;
  /** The body bytes since the last call. */
  std::string TakeBody();

 private:
  struct Impl;
  const bool head_only_;
  std::unique_ptr<Impl> impl_;
  HttpResponseHead head_;
  ParseState state_ = ParseState::kNeedMore;
  bool has_head_ = false;
  bool started_ = false;
};

}  // namespace chicory

#endif  // MODULES_NET_HTTP_MESSAGE_H_
