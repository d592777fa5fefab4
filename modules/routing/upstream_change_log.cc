#include "modules/routing/upstream_change_log.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace chicory {

std::vector<UpstreamBatch> SplitBatch(const UpstreamBatch& batch,
                                      size_t max_changes) {
  const size_t parts = (batch.changes.size() + max_changes - 1) / max_changes;
  std::vector<UpstreamBatch> split;
  for (size_t i = 0; i < parts; ++i) {
    UpstreamBatch part{.from = batch.from,
                       .to = batch.to,
                       .last_change = batch.last_change,
                       .after_outage = batch.after_outage,
                       .part = static_cast<uint32_t>(i),
                       .parts = static_cast<uint32_t>(parts)};
    const size_t begin = i * max_changes;
    const size_t end = std::min(begin + max_changes, batch.changes.size());
    part.changes.assign(batch.changes.begin() + static_cast<int64_t>(begin),
                        batch.changes.begin() + static_cast<int64_t>(end));
    split.push_back(std::move(part));
  }
  return split;
}

std::optional<UpstreamBatch> BatchAssembler::Add(const UpstreamBatch& part) {
  if (part.part >= part.parts)
    return std::nullopt;
  if (part.parts == 1)
    return part;
  const auto is_other_batch = [&](const UpstreamBatch& stored) {
    return stored.from != part.from || stored.to != part.to ||
           stored.parts != part.parts;
  };
  if (!parts_.empty() && is_other_batch(parts_.begin()->second))
    parts_.clear();
  parts_[part.part] = part;
  if (parts_.size() < part.parts)
    return std::nullopt;
  UpstreamBatch assembled = std::move(parts_.begin()->second);
  for (auto it = std::next(parts_.begin()); it != parts_.end(); ++it) {
    assembled.changes.insert(assembled.changes.end(),
                             it->second.changes.begin(),
                             it->second.changes.end());
  }
  assembled.part = 0;
  assembled.parts = 1;
  parts_.clear();
  return assembled;
}

bool UpstreamChangeLog::OnListed(uint64_t revision) {
  if (revision < complete_until_)
    return false;
  complete_until_ = revision;
  base_ = revision;
  batches_.clear();
  return true;
}

bool UpstreamChangeLog::Add(const UpstreamBatch& batch) {
  if (batch.from > complete_until_ || batch.to <= complete_until_)
    return false;
  complete_until_ = batch.to;
  if (batch.changes.empty())
    return true;
  last_change_ = std::max(last_change_, batch.last_change);
  batches_.push_back(batch);
  // Batches without changes are not stored, so a batch is extended back to the
  // end of the stored one before it.
  const uint64_t end = batches_.size() > 1 ? batches_.end()[-2].to : base_;
  batches_.back().from = std::min(batch.from, end);
  if (batches_.size() > kMaxBatches)
    batches_.pop_front();
  return true;
}

std::vector<UpstreamBatch> UpstreamChangeLog::Since(uint64_t revision) const {
  std::vector<UpstreamBatch> missing;
  size_t changes = 0;
  for (const UpstreamBatch& batch : batches_) {
    if (batch.to <= revision)
      continue;
    changes += batch.changes.size();
    if (batch.from > revision || changes > kMaxChangesPerReply)
      break;
    revision = batch.to;
    missing.push_back(batch);
  }
  return missing;
}

}  // namespace chicory
