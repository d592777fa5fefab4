#ifndef MODULES_CORE_ATTEMPT_ID_H_
#define MODULES_CORE_ATTEMPT_ID_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace chicory {

/** Identifies one attempt of a request at an upstream, together with the
    process that owns it.

    Any instance can determine the owner from the id alone, and so whether the
    result of an attempt is still wanted. The text form is
    `instance~incarnation~sequence`. A plain value type that may be used on any
    thread. @see OrphanCollector */
struct AttemptId {
  /** The name of the instance that started the attempt. */
  std::string instance;
  /** The start time of that instance's process, in milliseconds since the Unix
      epoch. */
  uint64_t incarnation = 0;
  /** A number that is unique within the process. */
  uint64_t sequence = 0;

  /** Returns the text form, which is sent to upstreams. */
  std::string ToString() const;

  /** Parses the text form. Returns nullopt if it is malformed. */
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
