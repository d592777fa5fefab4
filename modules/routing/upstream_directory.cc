#include "modules/routing/upstream_directory.h"

#include <iterator>
#include <set>

#include "modules/core/hashing.h"

namespace chicory {

namespace {

/** Time until which an upstream is cold depends a little on when its
    registration was read. */
constexpr absl::Duration kColdTolerance = absl::Seconds(1);

/** Returns whether two records of one upstream say the same. */
bool IsSameRegistration(const UpstreamRecord& known,
                        const UpstreamRecord& listed) {
  return known.service == listed.service && known.address == listed.address &&
         known.data_centre == listed.data_centre &&
         known.slots == listed.slots && known.state == listed.state &&
         known.started_ms == listed.started_ms &&
         listed.cold_until <= known.cold_until + kColdTolerance;
}

}  // namespace

UpstreamKey UpstreamDirectory::KeyOf(const std::string& id) {
  return StableHash(id);
}

UpstreamIncarnation UpstreamDirectory::IncarnationOf(
    const UpstreamRecord& record) {
  return StableHash(record.id, static_cast<uint64_t>(record.started_ms));
}

RegionKey UpstreamDirectory::RegionKeyOf(const std::string& name) {
  return name.empty() ? 0 : StableHash(name);
}

void UpstreamDirectory::SetRegions(
    const std::map<std::string, std::string>& regions) {
  regions_.clear();
  for (const auto& [data_centre, region] : regions)
    regions_[data_centre] = RegionKeyOf(region);
}

void UpstreamDirectory::MarkMissing(std::map<UpstreamKey, Row>::iterator row,
                                    bool after_outage,
                                    absl::Time now) {
  if (!after_outage) {
    rows_.erase(row);
    return;
  }
  if (row->second.expires_at == absl::InfiniteFuture())
    row->second.expires_at = now + kMissingGracePeriod;
}

void UpstreamDirectory::Replace(const std::vector<UpstreamRecord>& records,
                                bool after_outage,
                                absl::Time now) {
  std::set<UpstreamKey> listed;
  for (const UpstreamRecord& record : records) {
    Put(record);
    listed.insert(KeyOf(record.id));
  }
  for (auto row = rows_.begin(); row != rows_.end();) {
    const auto next = std::next(row);
    if (!listed.contains(row->first))
      MarkMissing(row, after_outage, now);
    row = next;
  }
}

void UpstreamDirectory::Put(const UpstreamRecord& record) {
  rows_[KeyOf(record.id)] = {.record = record};
}

void UpstreamDirectory::Remove(const std::string& id,
                               bool after_outage,
                               absl::Time now) {
  auto found = rows_.find(KeyOf(id));
  if (found != rows_.end())
    MarkMissing(found, after_outage, now);
}

bool UpstreamDirectory::Expire(absl::Time now) {
  return std::erase_if(rows_, [now](const auto& entry) {
           return entry.second.expires_at <= now;
         }) > 0;
}

const UpstreamRecord* UpstreamDirectory::FindReady(UpstreamKey key) const {
  auto found = rows_.find(key);
  if (found == rows_.end() ||
      found->second.record.state != RegistrationState::kReady)
    return nullptr;
  return &found->second.record;
}

UpstreamKey UpstreamDirectory::KeyOfAddress(const std::string& address) const {
  for (const auto& [key, row] : rows_) {
    if (row.record.address == address)
      return key;
  }
  return 0;
}

std::vector<UpstreamDirectory::Registration> UpstreamDirectory::All() const {
  std::vector<Registration> all;
  for (const auto& [key, row] : rows_) {
    all.push_back({.record = row.record,
                   .is_missing = row.expires_at != absl::InfiniteFuture()});
  }
  return all;
}

std::vector<UpstreamChange> UpstreamDirectory::ChangesTo(
    const std::vector<UpstreamRecord>& records) const {
  std::vector<UpstreamChange> changes;
  std::set<UpstreamKey> listed;
  for (const UpstreamRecord& record : records) {
    const UpstreamKey key = KeyOf(record.id);
    listed.insert(key);
    const auto row = rows_.find(key);
    const bool is_known = row != rows_.end() &&
                          row->second.expires_at == absl::InfiniteFuture() &&
                          IsSameRegistration(row->second.record, record);
    if (!is_known)
      changes.push_back({.record = record});
  }
  for (const auto& [key, row] : rows_) {
    if (!listed.contains(key))
      changes.push_back({.record = row.record, .removed = true});
  }
  return changes;
}

std::vector<UpstreamSpec> UpstreamDirectory::Ready() const {
  std::vector<UpstreamSpec> ready;
  for (const auto& [key, row] : rows_) {
    if (row.record.state != RegistrationState::kReady)
      continue;
    const auto region = regions_.find(row.record.data_centre);
    ready.push_back({.key = key,
                     .service = row.record.service,
                     .slots = row.record.slots,
                     .region = region == regions_.end() ? 0 : region->second,
                     .cold_until = row.record.cold_until});
  }
  return ready;
}

std::map<std::string, size_t> UpstreamDirectory::CountIn(
    const Evacuations& data_centres) const {
  std::map<std::string, size_t> counts;
  if (data_centres.data_centres.empty())
    return counts;
  for (const auto& [key, row] : rows_) {
    if (data_centres.Contains(row.record.data_centre))
      ++counts[row.record.service];
  }
  return counts;
}

}  // namespace chicory
