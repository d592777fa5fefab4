#include "modules/core/hashing.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "absl/strings/escaping.h"

namespace chicory {

uint64_t StableHash(std::string_view text, uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

std::string Sha256Hex(std::string_view text) {
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest);
  return absl::BytesToHexString(
      absl::string_view(reinterpret_cast<const char*>(digest), sizeof(digest)));
}

bool ConstantTimeEquals(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::vector<std::string> RendezvousTop(std::string_view key,
                                       const std::vector<std::string>& names,
                                       size_t count) {
  const uint64_t seed = StableHash(key);
  std::vector<std::pair<uint64_t, const std::string*>> scored;
  scored.reserve(names.size());
  for (const std::string& name : names)
    scored.emplace_back(StableHash(name, seed), &name);
  count = std::min(count, scored.size());
  std::partial_sort(scored.begin(), scored.begin() + count, scored.end(),
                    [](const auto& a, const auto& b) {
                      return a.first != b.first ? a.first > b.first
                                                : *a.second < *b.second;
                    });
  std::vector<std::string> highest;
  for (size_t i = 0; i < count; ++i)
    highest.push_back(*scored[i].second);
  return highest;
}

}  // namespace chicory
