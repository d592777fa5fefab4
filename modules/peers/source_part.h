#ifndef MODULES_PEERS_SOURCE_PART_H_
#define MODULES_PEERS_SOURCE_PART_H_

#include <cstddef>

namespace chicory {

/** The parts of the source that instances rely on others to watch. */
enum class SourcePart { kConfiguration, kUpstreams };

inline constexpr size_t kSourceParts = 2;

}  // namespace chicory

#endif  // MODULES_PEERS_SOURCE_PART_H_
