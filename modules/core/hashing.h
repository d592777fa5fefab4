#ifndef MODULES_CORE_HASHING_H_
#define MODULES_CORE_HASHING_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chicory {

/** Returns a 64-bit hash that is identical in every process and release, so
    that instances make the same choice independently. Not cryptographic. */
uint64_t StableHash(std::string_view text, uint64_t seed = 0);

/** Returns the SHA-256 digest of `text` in lower-case hexadecimal. */
std::string Sha256Hex(std::string_view text);

/** Compares two strings in a time that depends only on their lengths, so that
    the comparison of secrets leaks nothing about their contents. */
bool ConstantTimeEquals(std::string_view a, std::string_view b);

/** Returns the `count` names with the highest rendezvous hash for `key`,
    highest first; all names if there are fewer.

    When a name is added, only the keys that it wins are reassigned; when a name
    is removed, only its keys are. */
std::vector<std::string> RendezvousTop(std::string_view key,
                                       const std::vector<std::string>& names,
                                       size_t count);

}  // namespace chicory

#endif  // MODULES_CORE_HASHING_H_
