#ifndef MODULES_ROUTING_EVACUATIONS_H_
#define MODULES_ROUTING_EVACUATIONS_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace chicory {

/** The data centres whose upstreams get no new requests, as operators have set
    them. */
struct Evacuations {
  /** Revision of the source at which this was read; 0 if it is unknown. */
  uint64_t revision = 0;
  /** Names, sorted. */
  std::vector<std::string> data_centres;

  bool Contains(const std::string& data_centre) const {
    return std::binary_search(data_centres.begin(), data_centres.end(),
                              data_centre);
  }

  friend bool operator==(const Evacuations&, const Evacuations&) = default;
};

}  // namespace chicory

#endif  // MODULES_ROUTING_EVACUATIONS_H_
