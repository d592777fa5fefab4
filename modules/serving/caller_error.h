#ifndef MODULES_SERVING_CALLER_ERROR_H_
#define MODULES_SERVING_CALLER_ERROR_H_

#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "modules/decisions/command.h"

namespace httplib {
struct Response;
}  // namespace httplib

namespace chicory {

/** An error response to a caller, in the JSON form that client libraries of
    chat completion APIs expect, extended by whether the request was executed.
    @see SetErrorResponse */
struct CallerError {
  int status = 500;
  /** Machine-readable error code, such as `overloaded`. */
  std::string code;
  /** Text for humans. */
  std::string message;
  /** Whether the request was executed; must be true of the request, since
      callers decide by it whether a retry is safe. */
  RunState run_state = RunState::kNotRun;
  /** Time after which the caller should retry; zero omits Retry-After. */
  absl::Duration retry_after = absl::ZeroDuration();
};

/** Returns the error response for a refusal by the dispatcher. */
CallerError ToCallerError(const Refusal& refusal);

/** Returns the JSON body of an error response. */
std::string ErrorToJson(const CallerError& error);

/** Sets status, headers and body of `response` to those of `error`.
    Retry-After is rounded up to whole seconds. */
void SetErrorResponse(const CallerError& error, httplib::Response* response);

}  // namespace chicory

#endif  // MODULES_SERVING_CALLER_ERROR_H_
