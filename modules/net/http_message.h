#ifndef MODULES_NET_HTTP_MESSAGE_H_
#define MODULES_NET_HTTP_MESSAGE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>
#include "absl/strings/string_view.h"

namespace chicory {

/** The header fields of an HTTP message, in the order in which they were
    received or added. Names are compared without regard to case.

    Not thread-safe. */
class HttpHeaders {
 public:
  /** Appends a field. A name may occur more than once. */
  void Add(std::string name, std::string value) {
    fields_.emplace_back(std::move(name), std::move(value));
  }

  /** Returns the value of the first field called `name`, or an empty string
      if there is none. The view is valid until the headers change. */
  absl::string_view Find(absl::string_view name) const;

  bool Has(absl::string_view name) const;

  const std::vector<std::pair<std::string, std::string>>& fields() const {
    return fields_;
  }

 private:
  std::vector<std::pair<std::string, std::string>> fields_;
};

/** Returns true for hop-by-hop fields, which apply to a single connection and
    must not be forwarded. `connection` is the value of the message's Connection
    field, whose tokens name additional hop-by-hop fields. */
bool IsHopByHop(absl::string_view name, absl::string_view connection);

/** A complete HTTP request, including its body. */
struct HttpRequest {
  std::string method;
  /** Path and query as received, not percent-decoded. */
  std::string target;
  HttpHeaders headers;
  std::string body;
  /** Whether the client keeps the connection open after the response. */
  bool keep_alive = true;
  /** Whether the response may be sent in chunks, which HTTP/1.0 does not have.
   */
  bool accepts_chunks = true;

  /** Returns the target without its query. */
  absl::string_view path() const;
};

/** The status line and header fields of an HTTP response. */
struct HttpResponseHead {
  int status = 0;
  std::string reason;
  HttpHeaders headers;
  /** Whether the server keeps the connection open after the response. */
  bool keep_alive = true;
};

/** Returns the standard reason phrase of a status code. */
std::string HttpReason(int status);

/** How the end of a response's body is marked. */
enum class BodyFraming {
  /** The head is incomplete so far. */
  kUnknown,
  /** By its length, 0 included. */
  kLength,
  kChunked,
  /** By the end of the connection. */
  kConnectionEnd
};

/** Returns the name of `framing` in log lines. */
absl::string_view BodyFramingName(BodyFraming framing);

/** The progress of a message parser. */
enum class ParseState {
  /** The message is incomplete so far. */
  kNeedMore,
  kComplete,
  /** The input is not valid HTTP or exceeds a limit. */
  kMalformed
};

/** Incremental parser for a single HTTP/1.1 request. Bytes of a pipelined
    request that follows are not consumed.

    Not thread-safe.

        HttpRequestParser parser({.max_header_bytes = 16384});
        size_t used = parser.Feed(buffer);
        if (parser.state() == ParseState::kComplete) Handle(parser.Take());
    */
class HttpRequestParser {
 public:
  struct Options {
    size_t max_header_bytes = 16 << 10;
    size_t max_body_bytes = 4 << 20;
    /** Whether only the head is parsed: it is complete when its end has been
        received, and its body is not consumed. */
    bool head_only = false;
  };

  explicit HttpRequestParser(Options options);
  ~HttpRequestParser();
  HttpRequestParser(const HttpRequestParser&) = delete;
  HttpRequestParser& operator=(const HttpRequestParser&) = delete;

  /** Parses as much of `bytes` as possible and returns the number of bytes
      consumed. The remainder must be passed again, followed by the bytes
      received next. */
  size_t Feed(absl::string_view bytes);

  ParseState state() const { return state_; }
  /** Returns true once any byte of the request has been received. */
  bool started() const { return started_; }
  /** Returns true while the head is complete but the body is not. */
  bool awaits_body() const;
  /** Returns the memory that the body received so far takes, in bytes. */
  size_t body_capacity() const;
  /** Returns true if the client waits for a 100 Continue response before it
      sends the body. */
  bool expects_continue() const;
  /** Returns the status of the response to a malformed request: 400, 413 (body
      too large), 431 (head too large) or 501 (unknown transfer coding). Only
      meaningful in state kMalformed. */
  int error_status() const { return error_status_; }
  /** Returns why the request is malformed, for log lines; empty unless it is.
   */
  const std::string& error_reason() const { return error_reason_; }
  /** Moves the request out of the parser, without its trailer. May be called
      once, in state kComplete. */
  HttpRequest Take();

 private:
  struct Impl;
  /** Called when the head is complete, before any of the body is parsed. */
  void CheckHead();
  void SetMalformed(int status, absl::string_view reason);

  Options options_;
  std::unique_ptr<Impl> impl_;
  ParseState state_ = ParseState::kNeedMore;
  bool started_ = false;
  int error_status_ = 400;
  std::string error_reason_;
};

/** Incremental parser for a single HTTP/1.1 response. The body is available as
    it arrives. Interim (1xx) responses are skipped. A head of more than 64 KiB,
    a status outside 100 to 599 or more than 16 interim responses are malformed.
    The size of the body is not limited; memory is used only for the bytes that
    have arrived, whatever length the head announces.

    Not thread-safe. */
class HttpResponseParser {
 public:
  /** @param head_only  whether this is the response to a HEAD request, which
                        has no body */
  explicit HttpResponseParser(bool head_only);
  ~HttpResponseParser();
  HttpResponseParser(const HttpResponseParser&) = delete;
  HttpResponseParser& operator=(const HttpResponseParser&) = delete;

  /** Parses as much of `bytes` as possible and returns the number of bytes
      consumed. The remainder must be passed again, followed by the bytes
      received next. */
  size_t Feed(absl::string_view bytes);
  /** Must be called when the peer has closed the connection in an orderly way.
      This completes a close-delimited body; any other incomplete response
      becomes malformed. */
  void FeedEof();

  ParseState state() const { return state_; }
  /** Returns true once the head is complete. */
  bool has_head() const { return has_head_; }
  /** Returns true once any byte of the response has been received. */
  bool started() const { return started_; }
  /** Returns the head. Only valid once has_head() is true. */
  const HttpResponseHead& head() const { return head_; }
  /** Returns how the end of the body is marked; kUnknown until has_head() is
      true. */
  BodyFraming framing() const;
  /** Returns the length of the body in bytes that the head announces, or
      nullopt if it announces none or has_head() is false. Any value is
     possible: a length is no promise that as many bytes arrive. */
  std::optional<uint64_t> announced_length() const;
  /** Returns the body bytes received since the last call. */
  std::string TakeBody();

 private:
  struct Impl;
  /** Prepares for a response, the first one or one after an interim one. */
  void ResetParser();

  const bool head_only_;
  std::unique_ptr<Impl> impl_;
  HttpResponseHead head_;
  int interim_responses_ = 0;
  ParseState state_ = ParseState::kNeedMore;
  bool has_head_ = false;
  bool started_ = false;
};

}  // namespace chicory

#endif  // MODULES_NET_HTTP_MESSAGE_H_
