#ifndef MODULES_NET_REQUEST_FRAMING_H_
#define MODULES_NET_REQUEST_FRAMING_H_

#include "absl/strings/string_view.h"
#include "modules/net/http_message.h"

namespace chicory {

/** Why it is in doubt where the body of a request ends. */
enum class FramingFault {
  kNone,
  /** More than one Content-Length, be they equal or not. */
  kSeveralLengths,
  /** A Content-Length that is not digits only. */
  kInvalidLength,
  kLengthBesideCoding,
  /** Transfer codings whose last one is not `chunked`, or with `chunked` more
      than once. */
  kUnframedCoding,
  /** Codings that this server does not decode below `chunked`. */
  kUnknownCoding,
  /** A transfer coding in HTTP/1.0, which has none. */
  kCodingInHttp10
};

/** Returns the name of `fault` in log lines. */
absl::string_view FramingFaultName(FramingFault fault);

/** Returns the status of the response to a request with `fault`: 501 for
    kUnknownCoding, otherwise 400. */
int FramingFaultStatus(FramingFault fault);

/** Checks how a request marks the end of its body (RFC 9112, section 6). The
    sender and whoever is behind this server may otherwise disagree about where
    the next request begins. `headers` are those of the head, without a
    trailer; `is_http_11` is false for HTTP/1.0. */
FramingFault CheckRequestFraming(const HttpHeaders& headers, bool is_http_11);

}  // namespace chicory

#endif  // MODULES_NET_REQUEST_FRAMING_H_
