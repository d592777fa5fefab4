#ifndef MODULES_CORE_ERROR_H_
#define MODULES_CORE_ERROR_H_

#include <boost/leaf.hpp>

#include <string>
#include <type_traits>
#include <utility>

namespace chicory {

/** Classifies an error, for callers whose reaction depends on its kind. */
enum class ErrorCode {
  /** The input is malformed or violates a rule. */
  kInvalid,
  /** The requested object does not exist. */
  kNotFound,
  /** A conditional write did not match, because the object has changed. */
  kConflict,
  /** The operation failed without having had any effect. */
  kUnavailable,
  /** The response to a write was lost, so it may or may not have taken
      effect. */
  kOutcomeUnknown,
  /** The awaited change did not occur in time. */
  kTimeout,
};

/** Returns the stable name of a code that is written to logs. */
const char* ErrorCodeName(ErrorCode code);

/** The error that fallible functions report through Result. */
struct Error {
  ErrorCode code = ErrorCode::kInvalid;
  std::string message;
};

/** Holds either a value or an Error. Public functions of a module report errors
    this way and do not throw. */
template <class T>
using Result = boost::leaf::result<T>;

/** Creates a failed Result. Use as `return Fail(code, "message");`. */
inline boost::leaf::error_id Fail(ErrorCode code, std::string message) {
  return boost::leaf::new_error(Error{code, std::move(message)});
}

/** The value and error of a Result as plain members, for callers that handle
    the error locally. @see Capture */
template <class T>
struct Outcome {
  /** The value; default-constructed if the call failed. */
  T value{};
  /** Whether the call succeeded. */
  bool ok = false;
  /** The error; only meaningful if `ok` is false. */
  Error error;
};

/** Maps Result<T> to T. */
template <class R>
struct ResultValue;
template <class T>
struct ResultValue<Result<T>> {
  using Type = T;
};

/** Calls `function`, which returns a Result, and returns its value or error as
    an Outcome. A Result<void> becomes an Outcome<bool>. */
template <class Function>
auto Capture(Function&& function) {
  using T = typename ResultValue<std::decay_t<decltype(function())>>::Type;
  if constexpr (std::is_void_v<T>) {
    using CapturedOutcome = Outcome<bool>;
    return boost::leaf::try_handle_all(
        [&]() -> Result<CapturedOutcome> {
          BOOST_LEAF_CHECK(function());
          return CapturedOutcome{.value = true, .ok = true, .error = {}};
        },
        [](const Error& error) {
          return CapturedOutcome{.value = false, .ok = false, .error = error};
        },
        [] { return CapturedOutcome{}; });
  } else {
    using CapturedOutcome = Outcome<T>;
    return boost::leaf::try_handle_all(
        [&]() -> Result<CapturedOutcome> {
          BOOST_LEAF_AUTO(value, function());
          return CapturedOutcome{
              .value = std::move(value), .ok = true, .error = {}};
        },
        [](const Error& error) {
          return CapturedOutcome{.value = T{}, .ok = false, .error = error};
        },
        [] { return CapturedOutcome{}; });
  }
}

}  // namespace chicory

#endif  // MODULES_CORE_ERROR_H_
