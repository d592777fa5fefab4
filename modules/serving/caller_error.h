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

/** An error towards a caller, in the shape that client libraries expect, with
    a truthful word on whether the call ran. */
struct CallerError {
  int status = 500;
  /** Machine-readable, such as `overloaded`. */
  std::string code;
  std::string message;
  RunState run_state = RunState::kNotRun;
  /** When to come back; zero when it is not worth it. */
  absl::Duration retry_after = absl::ZeroDuration();
};

/** The error that a refusal of the dispatcher turns into. */
CallerError ErrorOfRefusal(const Refusal& refusal);

/** The JSON body of an error. */
std::string ErrorBody(const CallerError& error);

/** Fills a response with an error. */
void SendError(const CallerError& error, httplib::Response* response);

}  // namespace chicory

#endif  // MODULES_SERVING_CALLER_ERROR_H_
