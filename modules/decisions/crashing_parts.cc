#include "modules/decisions/crashing_parts.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <tuple>
#include <utility>

#include "modules/core/hashing.h"

namespace chicory {

namespace {

constexpr size_t kMaxCrashesPerPart = 24;
/** Maximum number of parts in a generation of responses. */
constexpr size_t kMaxStarts = 4096;
/** What fits into one datagram. */
constexpr size_t kMaxCrashesSent = 40;
constexpr size_t kMaxStartsSent = 16;
/** Interval of decisions while the evidence does not change. */
constexpr absl::Duration kUpdateInterval = absl::Milliseconds(100);

uint32_t CrashHash(PromptPart part, UpstreamIncarnation upstream) {
  const std::array<uint64_t, 2> key = {part, upstream};
  return static_cast<uint32_t>(StableHash(std::string_view(
      reinterpret_cast<const char*>(key.data()), sizeof(key))));
}

}  // namespace

absl::Time CrashingParts::LastStart(PromptPart part) const {
  if (auto found = starts_.find(part); found != starts_.end())
    return found->second;
  auto found = former_starts_.find(part);
  return found == former_starts_.end() ? absl::InfinitePast() : found->second;
}

void CrashingParts::OnCrash(const std::vector<PromptPart>& parts,
                            UpstreamIncarnation upstream,
                            absl::Time sent_at,
                            absl::Time now) {
  for (PromptPart part : parts)
    AddCrash(part, {.upstream = upstream, .at = now, .wait = now - sent_at});
  UpdateDigest();
  next_update_ = absl::InfinitePast();
}

bool CrashingParts::OnStarted(const std::vector<PromptPart>& parts,
                              absl::Time now) {
  if (now - generation_began_ >= kRecentStart || starts_.size() >= kMaxStarts) {
    former_starts_ = std::exchange(starts_, {});
    generation_began_ = now;
  }
  bool has_cleared = false;
  for (PromptPart part : parts) {
    starts_[part] = now;
    auto row = rows_.find(part);
    if (row == rows_.end())
      continue;
    has_cleared |= !OpenCrashes(row->second).empty();
    row->second.last_start = now;
  }
  if (has_cleared) {
    UpdateDigest();
    next_update_ = absl::InfinitePast();
  }
  return has_cleared;
}

void CrashingParts::AddCrash(PromptPart part, const Crash& crash) {
  if (!rows_.contains(part) && rows_.size() >= kMaxParts)
    EvictRow();
  Row& row = rows_[part];
  row.last_start = std::max(row.last_start, LastStart(part));
  const auto known = std::find_if(
      row.crashes.begin(), row.crashes.end(),
      [&](const Crash& other) { return other.upstream == crash.upstream; });
  if (known != row.crashes.end()) {
    // Each transfer between instances adds its delay to the time.
    known->at = std::min(known->at, crash.at);
    return;
  }
  row.crashes.push_back(crash);
  if (row.crashes.size() <= kMaxCrashesPerPart)
    return;
  // The last but one: the earliest tell since when, the last one until when the
  // part is refused.
  std::sort(row.crashes.begin(), row.crashes.end(),
            [](const Crash& a, const Crash& b) { return a.at < b.at; });
  row.crashes.erase(row.crashes.end() - 2);
}

void CrashingParts::EvictRow() {
  using Rank = std::pair<size_t, absl::Time>;
  const auto rank = [](const Row& row) {
    const std::vector<Crash> open = OpenCrashes(row);
    return open.empty() ? Rank(0, row.last_start)
                        : Rank(open.size(), open.back().at);
  };
  rows_.erase(std::min_element(rows_.begin(), rows_.end(),
                               [&](const auto& a, const auto& b) {
                                 return rank(a.second) < rank(b.second);
                               }));
}

std::vector<CrashingParts::Crash> CrashingParts::OpenCrashes(const Row& row) {
  std::vector<Crash> open;
  for (const Crash& crash : row.crashes) {
    if (crash.at > row.last_start)
      open.push_back(crash);
  }
  std::sort(open.begin(), open.end(),
            [](const Crash& a, const Crash& b) { return a.at < b.at; });
  return open;
}

size_t CrashingParts::CountCrashes(
    const std::vector<Crash>& crashes,
    const absl::flat_hash_set<UpstreamIncarnation>& explained) {
  size_t count = 0;
  absl::Time counted_last = absl::InfinitePast();
  for (const Crash& crash : crashes) {
    if (explained.contains(crash.upstream) ||
        crash.at - crash.wait < counted_last)
      continue;
    ++count;
    counted_last = crash.at;
  }
  return count;
}

std::tuple<size_t, int64_t, int64_t> CrashingParts::Suspect::Rank() const {
  // Parts without a recent response come first: they explain the crashes of
  // the parts that happened to be at the same upstreams.
  return {limit, -static_cast<int64_t>(count),
          -static_cast<int64_t>(crashes.size())};
}

std::vector<CrashingParts::Suspect> CrashingParts::Suspects() const {
  std::vector<Suspect> suspects;
  for (const auto& [part, row] : rows_) {
    std::vector<Crash> open = OpenCrashes(row);
    if (open.empty())
      continue;
    const bool had_start = open.front().at - row.last_start < kRecentStart;
    const size_t count = CountCrashes(open, {});
    const size_t limit = had_start ? kMaxCrashesAfterStart : kMaxCrashes;
    if (count < limit)
      continue;
    suspects.push_back({.part = part,
                        .crashes = std::move(open),
                        .count = count,
                        .limit = limit});
  }
  std::sort(suspects.begin(), suspects.end(),
            [](const Suspect& a, const Suspect& b) {
              return std::pair(a.Rank(), a.part) < std::pair(b.Rank(), b.part);
            });
  return suspects;
}

void CrashingParts::Update(absl::Time now) {
  if (now < next_update_)
    return;
  next_update_ = now + kUpdateInterval;
  RemoveExpired(now);
  refusals_.clear();
  absl::flat_hash_set<UpstreamIncarnation> explained;
  // Crashes are not explained by parts of the same rank.
  absl::flat_hash_set<UpstreamIncarnation> explained_by_rank;
  std::tuple<size_t, int64_t, int64_t> rank;
  // The refusal for each set of crashes that is explained.
  std::map<std::vector<UpstreamIncarnation>, Refusal> refusals;
  for (const Suspect& suspect : Suspects()) {
    if (suspect.Rank() != rank)
      explained.insert(explained_by_rank.begin(), explained_by_rank.end());
    rank = suspect.Rank();
    if (CountCrashes(suspect.crashes, explained) < suspect.limit ||
        now - suspect.crashes.front().at < kDecisionDelay)
      continue;
    std::vector<UpstreamIncarnation> crashed;
    for (const Crash& crash : suspect.crashes)
      crashed.push_back(crash.upstream);
    explained_by_rank.insert(crashed.begin(), crashed.end());
    std::sort(crashed.begin(), crashed.end());
    Refusal& refusal = refusals[crashed];
    refusal.parts.push_back(suspect.part);
    refusal.until = suspect.crashes.back().at + kRefusalTime;
  }
  for (auto& [crashed, refusal] : refusals) {
    if (now >= refusal.until)
      continue;
    std::sort(refusal.parts.begin(), refusal.parts.end());
    refusals_.push_back(std::move(refusal));
  }
  std::sort(
      refusals_.begin(), refusals_.end(),
      [](const Refusal& a, const Refusal& b) { return a.parts < b.parts; });
}

void CrashingParts::RemoveExpired(absl::Time now) {
  bool has_changed = false;
  for (auto& [part, row] : rows_) {
    has_changed |= std::erase_if(row.crashes, [&](const Crash& crash) {
                     return now - crash.at >= kRetention;
                   }) > 0;
  }
  absl::erase_if(rows_, [&](const auto& entry) {
    const Row& row = entry.second;
    // A part that is cleared is kept until the others know.
    return row.crashes.empty() ||
           (OpenCrashes(row).empty() && now - row.last_start >= kRecentStart);
  });
  if (has_changed)
    UpdateDigest();
}

absl::Duration CrashingParts::RefusalTimeLeft(
    const std::vector<PromptPart>& parts,
    absl::Time now) {
  absl::Duration left = absl::ZeroDuration();
  for (const Refusal& refusal : Refusals(now)) {
    const bool holds_all = std::all_of(
        refusal.parts.begin(), refusal.parts.end(), [&](PromptPart part) {
          return std::find(parts.begin(), parts.end(), part) != parts.end();
        });
    if (holds_all)
      left = std::max(left, refusal.until - now);
  }
  return left;
}

const std::vector<CrashingParts::Refusal>& CrashingParts::Refusals(
    absl::Time now) {
  if (!rows_.empty() || !refusals_.empty())
    Update(now);
  return refusals_;
}

CrashEvidence CrashingParts::Evidence(absl::Time now) const {
  struct Entry {
    PromptPart part = 0;
    std::vector<Crash> open;
    absl::Time last_start;
  };
  std::vector<Entry> entries;
  for (const auto& [part, row] : rows_) {
    entries.push_back(
        {.part = part, .open = OpenCrashes(row), .last_start = row.last_start});
  }
  const auto latest = [](const Entry& entry) {
    return entry.open.empty() ? entry.last_start : entry.open.back().at;
  };
  std::sort(entries.begin(), entries.end(),
            [&](const Entry& a, const Entry& b) {
              return std::tuple(a.open.size(), latest(a), a.part) >
                     std::tuple(b.open.size(), latest(b), b.part);
            });
  CrashEvidence evidence;
  for (const Entry& entry : entries) {
    for (const Crash& crash : entry.open) {
      if (evidence.crashes.size() < kMaxCrashesSent)
        evidence.crashes.push_back({.part = entry.part,
                                    .upstream = crash.upstream,
                                    .age = now - crash.at,
                                    .wait = crash.wait});
    }
  }
  // The most recent responses first: the others do not know those yet.
  std::sort(entries.begin(), entries.end(), [](const Entry& a, const Entry& b) {
    return a.last_start > b.last_start;
  });
  for (const Entry& entry : entries) {
    if (now - entry.last_start >= kRecentStart ||
        evidence.starts.size() >= kMaxStartsSent)
      break;
    evidence.starts.push_back(
        {.part = entry.part, .age = now - entry.last_start});
  }
  return evidence;
}

void CrashingParts::Merge(const CrashEvidence& evidence, absl::Time now) {
  for (const CrashEvidence::Crash& crash : evidence.crashes) {
    if (crash.age < kRetention)
      AddCrash(crash.part, {.upstream = crash.upstream,
                            .at = now - crash.age,
                            .wait = crash.wait});
  }
  for (const CrashEvidence::Start& start : evidence.starts) {
    auto row = rows_.find(start.part);
    if (row != rows_.end())
      row->second.last_start =
          std::max(row->second.last_start, now - start.age);
  }
  UpdateDigest();
  next_update_ = absl::InfinitePast();
}

void CrashingParts::UpdateDigest() {
  digest_ = 0;
  for (const auto& [part, row] : rows_) {
    for (const Crash& crash : row.crashes) {
      if (crash.at > row.last_start)
        digest_ ^= CrashHash(part, crash.upstream);
    }
  }
}

}  // namespace chicory
