#ifndef TESTS_LOGIC_BROKEN_RESPONSES_H_
#define TESTS_LOGIC_BROKEN_RESPONSES_H_

#include <string>
#include <vector>

namespace chicory {

/** Texts in the place of a status that are none. */
inline std::vector<std::string> InvalidStatuses() {
  return {"000",  "001", "042",  "099",  "600",         "999", "0",
          "20",   "",    "0200", "2000", "+20",         "-20", "-200",
          " 200", "2 0", "20x",  "2\t0", "\xb2\xb2\xb2"};
}

}  // namespace chicory

#endif  // TESTS_LOGIC_BROKEN_RESPONSES_H_
