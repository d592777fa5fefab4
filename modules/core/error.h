#ifndef MODULES_CORE_ERROR_H_
#define MODULES_CORE_ERROR_H_

#include <boost/leaf.hpp>

#include <string>
#include <type_traits>
#include <utility>

namespace chicory {

/** What went wrong, for callers that decide by it. */
enum class ErrorCode {
  kInvalid,
  kNotFound,
  kConflict,
  kUnavailable,
  kOutcomeUnknown,
  kTimeout,
};

/** The stable name of a code, as it stands in logs. */
const char* ErrorCodeName(ErrorCode code);

/** The typed error that every fallible function of this project reports. */
struct Error {
  ErrorCode code = ErrorCode::kInvalid;
  std::string message;
};

/** A value or an Error. Nothing throws across a module's face. */
template <class T>
using Result = boost::leaf::result<T>;

/** Makes a failed Result; use as `return Fail(code, "message");`. */
inline boost::leaf::error_id Fail(ErrorCode code, std::string message) {
  return boost::leaf::new_error(Error{code, std::move(message)});
}

/** A Result taken apart, for a caller that handles the error at once. */
template <class T>
struct Outcome {
  /** The value; default-constructed when the call failed. */
  T value{};
  /** True when the call succeeded. */
  bool ok = false;
  /** The error; meaningful only when `ok` is false. */
  Error error;
};

/** The value type of a Result. */
template <class R>
struct ResultValue;
template <class T>
struct ResultValue<Result<T>> {
  using Type = T;
};

/** Runs `function`, which returns a Result, and captures what it reports. */
template <class Function>
auto Capture(Function&& function) {
  using T = typename ResultValue<std::decay_t<decltype(function())>>::Type;
  if constexpr (std::is_void_v<T>) {
    using Taken = Outcome<bool>;
    return boost::leaf::try_handle_all(
        [&]() -> Result<Taken> {
          BOOST_LEAF_CHECK(function());
          return Taken{.value = true, .ok = true, .error = {}};
        },
        [](const Error& error) {
          return Taken{.value = false, .ok = false, .error = error};
        },
        [] { return Taken{}; });
  } else {
    using Taken = Outcome<T>;
    return boost::leaf::try_handle_all(
        [&]() -> Result<Taken> {
          BOOST_LEAF_AUTO(value, function());
          return Taken{.value = std::move(value), .ok = true, .error = {}};
        },
        [](const Error& error) {
          return Taken{.value = T{}, .ok = false, .error = error};
        },
        [] { return Taken{}; });
  }
}

}  // namespace chicory

#endif  // MODULES_CORE_ERROR_H_
