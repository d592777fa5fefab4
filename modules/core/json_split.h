#ifndef MODULES_CORE_JSON_SPLIT_H_
#define MODULES_CORE_JSON_SPLIT_H_

#include <optional>
#include <vector>

#include "absl/strings/string_view.h"

namespace chicory {

/** A member of a JSON object. Both views refer to the object's text. */
struct JsonMember {
  /** The name as written, without its quotes; escapes are not resolved. */
  absl::string_view name;
  /** The text of the value. */
  absl::string_view value;
};

/** Returns the members of the JSON object `text`, or nullopt if it is not one.

    SplitJsonObject() and SplitJsonArray() find where each value begins and ends
    without reading it, so that a value that a parser refuses (a number too
    large, too many levels, bytes that are not UTF-8) does not make its
    neighbours unreadable. They need constant stack space, and accept some text
    that is not JSON: the values still have to be parsed. */
std::optional<std::vector<JsonMember>> SplitJsonObject(absl::string_view text);

/** Returns the elements of the JSON array `text`, or nullopt if it is not one.
    See SplitJsonObject(). */
std::optional<std::vector<absl::string_view>> SplitJsonArray(
    absl::string_view text);

/** Returns the value of the first member called `name`, or an empty view. */
absl::string_view FindJsonMember(const std::vector<JsonMember>& members,
                                 absl::string_view name);

}  // namespace chicory

#endif  // MODULES_CORE_JSON_SPLIT_H_
