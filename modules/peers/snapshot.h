#ifndef MODULES_PEERS_SNAPSHOT_H_
#define MODULES_PEERS_SNAPSHOT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "modules/routing/evacuations.h"
#include "modules/routing/upstream_directory.h"

namespace chicory {

/** What an instance has in force of the source's content, for an instance that
    starts while the source does not respond to it. */
struct Snapshot {
  /** The configuration with the client accounts. */
  RoutingTable::Options configuration;
  /** All upstreams as of `revision`. */
  std::vector<UpstreamDirectory::Registration> upstreams;
  uint64_t revision = 0;
  Evacuations evacuations;
  /** Time since the source last confirmed this content to an instance. */
  absl::Duration age = absl::ZeroDuration();
};

/** Maximum size of an encoded snapshot. 1,400 routes and 2,000 upstreams take
    less than a tenth of it. */
inline constexpr size_t kMaxSnapshotBytes = 3 << 20;

/** Returns the wire form of a snapshot, which begins with a digest of the
    rest. `now` is when it is sent. */
std::string EncodeSnapshot(const Snapshot& snapshot, absl::Time now);

/** Parses a snapshot that was received at `now`. Returns nullopt if it is
    malformed, does not match its digest or is incomplete. */
std::optional<Snapshot> DecodeSnapshot(absl::string_view bytes, absl::Time now);

}  // namespace chicory

#endif  // MODULES_PEERS_SNAPSHOT_H_
