#ifndef MODULES_ROUTING_UPSTREAM_DIRECTORY_H_
#define MODULES_ROUTING_UPSTREAM_DIRECTORY_H_

#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "modules/decisions/fleet_scheduler.h"
#include "modules/routing/evacuations.h"
#include "modules/routing/routing_table.h"
#include "modules/routing/upstream_change_log.h"

namespace chicory {

/** The registered upstreams, as last received from the source or a peer.

    Registrations that expired while the source was unavailable are renewed
    shortly after its return if their upstreams are alive. Registrations missing
    after an outage are therefore kept for kMissingGracePeriod before they are
    removed. Not thread-safe. */
class UpstreamDirectory {
 public:
  /** Time for which a missing registration is kept after an outage. */
  static constexpr absl::Duration kMissingGracePeriod =
      absl::Milliseconds(1500);

  /** Sets the regions by data centre, to be called first. */
  void SetRegions(const std::map<std::string, std::string>& regions);
  /** Replaces the contents by a complete list. `after_outage` means that
      the source was unavailable before. */
  void Replace(const std::vector<UpstreamRecord>& records,
               bool after_outage,
               absl::Time now);
  /** Adds or updates a registration. */
  void Put(const UpstreamRecord& record);
  /** Removes a registration, after kMissingGracePeriod if `after_outage`.
      Unknown ids are ignored. */
  void Remove(const std::string& id, bool after_outage, absl::Time now);
  /** Removes registrations whose grace period has passed. Returns whether any
      was removed. */
  bool Expire(absl::Time now);

  /** Returns the upstream if it accepts new requests; null otherwise. Valid
      until the next change of the directory. */
  const UpstreamRecord* FindReady(UpstreamKey key) const;
  /** Returns the key of the upstream at `address` (`ip:port`); 0 if unknown. */
  UpstreamKey KeyOfAddress(const std::string& address) const;
  /** Returns all upstreams that accept new requests. */
  std::vector<UpstreamSpec> Ready() const;
  /** Returns the number of upstreams of each service in `data_centres`, in any
      state. */
  std::map<std::string, size_t> CountIn(const Evacuations& data_centres) const;
  size_t size() const { return rows_.size(); }

  /** An upstream and whether its registration is missing after an outage. */
  struct Registration {
    UpstreamRecord record;
    bool is_missing = false;
  };
  /** Returns all upstreams. */
  std::vector<Registration> All() const;
  /** Returns the changes that lead from these upstreams to `records`. */
  std::vector<UpstreamChange> ChangesTo(
      const std::vector<UpstreamRecord>& records) const;

  /** Returns the incarnation that registered itself with `record`. */
  static UpstreamIncarnation IncarnationOf(const UpstreamRecord& record);
  /** Returns the key of a registration id: a hash that is the same on all
      instances. */
  static UpstreamKey KeyOf(const std::string& id);
  /** Returns the key of a region; 0 for an empty name. */
  static RegionKey RegionKeyOf(const std::string& name);

 private:
  struct Row {
    UpstreamRecord record;
    /** End of the grace period; infinite while the upstream is registered. */
    absl::Time expires_at = absl::InfiniteFuture();
  };
  /** Removes a registration, or starts its grace period if `after_outage`. */
  void MarkMissing(std::map<UpstreamKey, Row>::iterator row,
                   bool after_outage,
                   absl::Time now);

  std::map<UpstreamKey, Row> rows_;
  /** Keys of regions by data centre. */
  std::map<std::string, RegionKey> regions_;
};

}  // namespace chicory

#endif  // MODULES_ROUTING_UPSTREAM_DIRECTORY_H_
