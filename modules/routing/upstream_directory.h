#ifndef MODULES_ROUTING_UPSTREAM_DIRECTORY_H_
#define MODULES_ROUTING_UPSTREAM_DIRECTORY_H_

#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "modules/decisions/fleet_scheduler.h"
#include "modules/routing/routing_table.h"

namespace chicory {

/** The upstreams that are registered, as last heard from the store.

    A registration that lapsed while the store was away comes back shortly after
    the store does, if the upstream lives. So what is missing after an outage is
    kept for kLapseGrace before it counts as gone. Not thread-safe. */
class UpstreamDirectory {
 public:
  /** How long a missing registration is trusted after an outage. */
  static constexpr absl::Duration kLapseGrace = absl::Milliseconds(1500);

  /** Takes over a complete list. `after_outage`: the store was away before it.
   */
  void Replace(const std::vector<UpstreamRecord>& records,
               bool after_outage,
               absl::Time now);
  /** Adds or changes one registration. */
  void Put(const UpstreamRecord& record);
  /** Takes one registration away. */
  void Remove(const std::string& id, bool after_outage, absl::Time now);
  /** Drops what stayed missing; true when something was dropped. */
  bool Expire(absl::Time now);

  /** The upstream if it takes new requests; null otherwise. */
  const UpstreamRecord* FindReady(UpstreamKey key) const;
  /** The upstream whose address is `ip:port`; 0 when unknown. */
  UpstreamKey KeyOfAddress(const std::string& address) const;
  /** All that take new requests. */
  std::vector<UpstreamSpec> Ready() const;
  size_t size() const { return rows_.size(); }

  static UpstreamKey KeyOf(const std::string& id);

 private:
  struct Row {
    UpstreamRecord record;
    absl::Time gone_at = absl::InfiniteFuture();
  };
  void MarkMissing(std::map<UpstreamKey, Row>::iterator row,
                   bool after_outage,
                   absl::Time now);

  std::map<UpstreamKey, Row> rows_;
};

}  // namespace chicory

#endif  // MODULES_ROUTING_UPSTREAM_DIRECTORY_H_
