#ifndef MODULES_CORE_ATTEMPT_ID_H_
#define MODULES_CORE_ATTEMPT_ID_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace chicory {

/** Names one attempt and its owner, so that any instance can tell from the id
    alone who may still want the work.

    The text form is `instance~incarnation~sequence`. Value type; any thread.
    @see OrphanCollector
*/
struct AttemptId {
  /** The instance that started the attempt. */
  std::string instance;
  /** The start of that instance's process, in milliseconds since the epoch. */
  uint64_t incarnation = 0;
  /** A number that the process gives out once. */
  uint64_t sequence = 0;

  /** The text form that travels to upstreams. */
  std::string ToString() const;

  /** Reads the text form; nothing when it is malformed. */
  static std::optional<AttemptId> Parse(std::string_view text);

  friend bool operator==(const AttemptId& a, const AttemptId& b) {
    return a.sequence == b.sequence && a.incarnation == b.incarnation &&
           a.instance == b.instance;
  }
  template <class H>
  friend H AbslHashValue(H state, const AttemptId& id) {
    return H::combine(std::move(state), id.instance, id.incarnation,
                      id.sequence);
  }
};

}  // namespace chicory

#endif  // MODULES_CORE_ATTEMPT_ID_H_
