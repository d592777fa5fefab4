#include "modules/serving/caller_error.h"

#include <httplib.h>

#include <cmath>

#include "absl/strings/str_cat.h"
#include "nlohmann/json.hpp"

namespace chicory {

CallerError ToCallerError(const Refusal& refusal) {
  CallerError error{.status = 503,
                    .code = RefusalReasonName(refusal.reason),
                    .run_state = refusal.run_state,
                    .retry_after = refusal.retry_after};
  switch (refusal.reason) {
    case RefusalReason::kOverloaded:
      error.status = 429;
      error.message = "all upstreams are at capacity";
      break;
    case RefusalReason::kDeadlineExceeded:
      error.status = 504;
      error.message = "the request's deadline has passed";
      break;
    case RefusalReason::kNoUpstream:
      error.message = "no live upstream is available";
      break;
    case RefusalReason::kAccountLimit:
      error.status = 429;
      error.message = "the client account has exceeded its rate limit";
      break;
    case RefusalReason::kRetriesExhausted:
      error.message = "an upstream failed and the retry budget is exhausted";
      break;
    case RefusalReason::kCrashesUpstreams:
      error.status = 422;
      error.message = "upstreams crashed while executing this request";
      break;
    case RefusalReason::kUpstreamFailed:
      error.status = 502;
      error.message = "upstreams failed to process the request";
      break;
    case RefusalReason::kPromptTooLong:
      error.status = 413;
      error.message = "the prompt exceeds the memory of any group of upstreams";
      break;
    case RefusalReason::kStopping:
      error.message = "this instance is shutting down";
      break;
  }
  return error;
}

std::string ErrorToJson(const CallerError& error) {
  const nlohmann::ordered_json json = {
      {"error",
       {{"message", error.message},
        {"type", error.status < 500 ? "invalid_request_error" : "server_error"},
        {"param", nullptr},
        {"code", error.code},
        {"run_state", RunStateName(error.run_state)}}}};
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void SetErrorResponse(const CallerError& error, httplib::Response* response) {
  response->status = error.status;
  response->set_header("Chicory-Run-State", RunStateName(error.run_state));
  if (error.retry_after > absl::ZeroDuration()) {
    response->set_header("Retry-After",
                         absl::StrCat(static_cast<int64_t>(std::ceil(
                             absl::ToDoubleSeconds(error.retry_after)))));
  }
  response->set_content(ErrorToJson(error) + "\n", "application/json");
}

}  // namespace chicory
