#ifndef MODULES_CORE_STRONG_ID_H_
#define MODULES_CORE_STRONG_ID_H_

#include <cstdint>
#include <utility>

namespace chicory {

/** An integer identifier whose type prevents it from being confused with other
    kinds of identifier.

    Example: `using UpstreamId = StrongId<struct UpstreamTag>;`

    A plain value type that may be used on any thread. @see AttemptId
*/
template <class Tag>
struct StrongId {
  /** The raw number, unique within one table of one process. */
  uint64_t value = 0;

  friend bool operator==(StrongId a, StrongId b) { return a.value == b.value; }
  friend bool operator!=(StrongId a, StrongId b) { return a.value != b.value; }
  friend bool operator<(StrongId a, StrongId b) { return a.value < b.value; }
  template <class H>
  friend H AbslHashValue(H state, StrongId id) {
    return H::combine(std::move(state), id.value);
  }
};

using RequestId = StrongId<struct RequestTag>;
using UpstreamId = StrongId<struct UpstreamTag>;

}  // namespace chicory

#endif  // MODULES_CORE_STRONG_ID_H_
