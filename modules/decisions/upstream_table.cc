#include "modules/decisions/upstream_table.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace chicory {

namespace {

std::string IndexKey(const std::string& pool, const std::string& model) {
  return absl::StrCat(pool, "\n", model);
}

std::vector<std::string> IndexKeys(const UpstreamRow& row) {
  std::vector<std::string> keys;
  if (row.models.empty())
    keys.push_back(IndexKey(row.pool, ""));
  for (const std::string& model : row.models)
    keys.push_back(IndexKey(row.pool, model));
  return keys;
}

}  // namespace

const char* UpstreamStateName(UpstreamState state) {
  static constexpr const char* kNames[] = {"live", "broken", "leaving", "gone"};
  return kNames[static_cast<int>(state)];
}

int64_t UpstreamRow::PrefillAhead(int level) const {
  int64_t ahead = 0;
  for (int i = 0; i <= level; ++i)
    ahead += report.queued_prefill_tokens[i] + own_prefill_tokens[i];
  return ahead;
}

int64_t UpstreamRow::FreeMemory(int level) const {
  int64_t free =
      report.free_memory_tokens - own_memory_tokens + freed_memory_tokens;
  for (int i = 0; i <= level; ++i)
    free -= report.waiting_memory_tokens[i];
  return std::min(report.memory_tokens, free);
}

UpstreamId UpstreamTable::Upsert(const UpstreamRow& listed) {
  auto existing = by_name_.find(listed.name);
  if (existing == by_name_.end()) {
    const UpstreamId id{next_id_++};
    UpstreamRow& row = rows_[id];
    row = listed;
    row.id = id;
    by_name_[listed.name] = id;
    if (row.state == UpstreamState::kLive)
      AddToIndex(row);
    return id;
  }
  UpstreamRow& row = rows_[existing->second];
  if (row.address != listed.address || row.models != listed.models ||
      row.pool != listed.pool) {
    RemoveFromIndex(row);
    row.address = listed.address;
    row.models = listed.models;
    row.pool = listed.pool;
    if (row.state == UpstreamState::kLive)
      AddToIndex(row);
  }
  return existing->second;
}

UpstreamRow* UpstreamTable::Find(UpstreamId id) {
  auto found = rows_.find(id);
  return found == rows_.end() ? nullptr : &found->second;
}

const UpstreamRow* UpstreamTable::Find(UpstreamId id) const {
  auto found = rows_.find(id);
  return found == rows_.end() ? nullptr : &found->second;
}

UpstreamRow* UpstreamTable::FindByName(const std::string& name) {
  auto found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : Find(found->second);
}

const UpstreamRow* UpstreamTable::FindByName(const std::string& name) const {
  auto found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : Find(found->second);
}

void UpstreamTable::SetState(UpstreamId id, UpstreamState state) {
  UpstreamRow* row = Find(id);
  if (row == nullptr || row->state == state)
    return;
  if (row->state == UpstreamState::kLive)
    RemoveFromIndex(*row);
  row->state = state;
  if (state == UpstreamState::kLive)
    AddToIndex(*row);
}

void UpstreamTable::ApplyReport(UpstreamId id, const LoadReport& report) {
  UpstreamRow* row = Find(id);
  if (row == nullptr || report.measured_at <= row->report.measured_at)
    return;
  row->report = report;
  row->own_prefill_tokens.fill(0);
  row->own_memory_tokens = 0;
  row->freed_memory_tokens = 0;
  for (const auto& [attempt, placement] : row->placements) {
    if (placement.placed_at <= report.measured_at)
      continue;
    row->own_prefill_tokens[placement.level] += placement.prefill_tokens;
    row->own_memory_tokens += placement.memory_tokens;
  }
}

void UpstreamTable::Place(UpstreamId id,
                          uint64_t attempt,
                          const Placement& placement) {
  UpstreamRow* row = Find(id);
  if (row == nullptr)
    return;
  row->placements[attempt] = placement;
  row->own_prefill_tokens[placement.level] += placement.prefill_tokens;
  row->own_memory_tokens += placement.memory_tokens;
  row->long_prefills += placement.is_long ? 1 : 0;
  row->crash_suspects += placement.is_crash_suspect ? 1 : 0;
}

void UpstreamTable::FinishPrefill(UpstreamId id, uint64_t attempt) {
  UpstreamRow* row = Find(id);
  if (row == nullptr)
    return;
  auto found = row->placements.find(attempt);
  if (found == row->placements.end())
    return;
  Placement& placement = found->second;
  if (placement.placed_at > row->report.measured_at)
    row->own_prefill_tokens[placement.level] -= placement.prefill_tokens;
  placement.prefill_tokens = 0;
  row->long_prefills -= placement.is_long ? 1 : 0;
  placement.is_long = false;
}

bool UpstreamTable::Remove(UpstreamId id, uint64_t attempt) {
  FinishPrefill(id, attempt);
  UpstreamRow* row = Find(id);
  if (row == nullptr)
    return false;
  auto found = row->placements.find(attempt);
  if (found == row->placements.end())
    return false;
  if (found->second.placed_at > row->report.measured_at)
    row->own_memory_tokens -= found->second.memory_tokens;
  else
    row->freed_memory_tokens += found->second.memory_tokens;
  row->crash_suspects -= found->second.is_crash_suspect ? 1 : 0;
  row->placements.erase(found);
  return true;
}

const std::vector<UpstreamId>& UpstreamTable::Eligible(
    const std::string& pool,
    const std::string& model) const {
  auto found = eligible_.find(IndexKey(pool, model));
  return found == eligible_.end() ? no_upstreams_ : found->second;
}

void UpstreamTable::AddToIndex(const UpstreamRow& row) {
  for (const std::string& key : IndexKeys(row))
    eligible_[key].push_back(row.id);
}

void UpstreamTable::RemoveFromIndex(const UpstreamRow& row) {
  for (const std::string& key : IndexKeys(row)) {
    std::vector<UpstreamId>& ids = eligible_[key];
    auto found = std::find(ids.begin(), ids.end(), row.id);
    if (found == ids.end())
      continue;
    *found = ids.back();
    ids.pop_back();
  }
}

}  // namespace chicory
