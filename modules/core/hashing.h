#ifndef MODULES_CORE_HASHING_H_
#define MODULES_CORE_HASHING_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chicory {

/** A 64-bit hash that is the same in every process and version. */
uint64_t StableHash(std::string_view text, uint64_t seed = 0);

/** SHA-256 in lower-case hexadecimal. */
std::string Sha256Hex(std::string_view text);

/** Compares in time that depends only on the lengths. */
bool ConstantTimeEquals(std::string_view a, std::string_view b);

/** The `count` names with the highest rendezvous score for `key`, best first.
    When a name joins or leaves, only the keys it wins or held move. */
std::vector<std::string> RendezvousTop(std::string_view key,
                                       const std::vector<std::string>& names,
                                       size_t count);

}  // namespace chicory

#endif  // MODULES_CORE_HASHING_H_
