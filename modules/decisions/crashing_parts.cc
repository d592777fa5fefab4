#include "modules/decisions/crashing_parts.h"

#include <algorithm>
#include <array>
#include <set>
#include <string_view>
#include <tuple>
#include <utility>

#include "modules/core/hashing.h"

namespace chicory {

namespace {

constexpr size_t kMaxCrashesPerSuspect = 24;
/** Maximum number of suspects in a generation of responses. */
constexpr size_t kMaxStarts = 4096;
/** What fits into one datagram. */
constexpr size_t kMaxCrashesSent = 40;
constexpr size_t kMaxStartsSent = 16;
/** Interval of decisions while the evidence does not change. */
constexpr absl::Duration kUpdateInterval = absl::Milliseconds(100);

/** Upstreams that fail within this time of each other fail at the same time. */
constexpr absl::Duration kSameTime = absl::Milliseconds(100);
/** The same for crashes that instances see of copies of one request. */
constexpr absl::Duration kSameMoment = absl::Milliseconds(20);
/** Crashes from which on a request is known to all instances. */
constexpr size_t kMinSharedCrashes = 2;

uint32_t CrashHash(const CrashSuspect& suspect, UpstreamIncarnation upstream) {
  const std::array<uint64_t, 3> key = {static_cast<uint64_t>(suspect.kind),
                                       suspect.id, upstream};
  return static_cast<uint32_t>(StableHash(std::string_view(
      reinterpret_cast<const char*>(key.data()), sizeof(key))));
}

}  // namespace

std::vector<CrashSuspect> CrashingParts::ListOf(const CrashSuspects& suspects) {
  std::vector<CrashSuspect> list;
  if (suspects.request != 0) {
    list.push_back(
        {.kind = CrashSuspect::Kind::kRequest, .id = suspects.request});
  }
  for (PromptPart part : suspects.parts)
    list.push_back({.kind = CrashSuspect::Kind::kPromptPart, .id = part});
  return list;
}

absl::Time CrashingParts::LastStart(const CrashSuspect& suspect) const {
  if (auto found = starts_.find(suspect); found != starts_.end())
    return found->second;
  auto found = former_starts_.find(suspect);
  return found == former_starts_.end() ? absl::InfinitePast() : found->second;
}

void CrashingParts::OnCrash(const CrashSuspects& suspects,
                            UpstreamIncarnation upstream,
                            absl::Time sent_at,
                            absl::Time now) {
  for (const CrashSuspect& suspect : ListOf(suspects))
    AddCrash(suspect, {.upstream = upstream, .at = now, .wait = now - sent_at});
  UpdateDigest();
  next_update_ = absl::InfinitePast();
}

bool CrashingParts::OnStarted(const CrashSuspects& suspects, absl::Time now) {
  if (now - generation_began_ >= kRecentStart || starts_.size() >= kMaxStarts) {
    former_starts_ = std::exchange(starts_, {});
    generation_began_ = now;
  }
  bool has_cleared = false;
  for (const CrashSuspect& suspect : ListOf(suspects)) {
    starts_[suspect] = now;
    auto row = rows_.find(suspect);
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

void CrashingParts::AddCrash(const CrashSuspect& suspect, const Crash& crash) {
  if (!rows_.contains(suspect) && rows_.size() >= kMaxSuspects)
    EvictRow();
  Row& row = rows_[suspect];
  row.last_start = std::max(row.last_start, LastStart(suspect));
  const auto known = std::find_if(
      row.crashes.begin(), row.crashes.end(),
      [&](const Crash& other) { return other.upstream == crash.upstream; });
  if (known != row.crashes.end()) {
    // Each transfer between instances adds its delay to the time.
    known->at = std::min(known->at, crash.at);
    return;
  }
  row.crashes.push_back(crash);
  if (row.crashes.size() <= kMaxCrashesPerSuspect)
    return;
  // The last but one: the earliest tell since when, the last one until when the
  // suspect is refused.
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
    const bool ran_together =
        !crash.is_separate && crash.at - crash.wait < counted_last;
    if (explained.contains(crash.upstream) || ran_together)
      continue;
    ++count;
    counted_last = crash.at;
  }
  return count;
}

CrashingParts::UpstreamEnds CrashingParts::Ends() const {
  UpstreamEnds ends;
  for (const auto& [suspect, row] : rows_) {
    const std::vector<Crash> open = OpenCrashes(row);
    for (const Crash& crash : open) {
      UpstreamEnd& end = ends[crash.upstream];
      end.at = std::min(end.at, crash.at);
      if (suspect.kind == CrashSuspect::Kind::kRequest)
        end.request_crashes = std::max(end.request_crashes, open.size());
    }
  }
  return ends;
}

void CrashingParts::MarkSeparate(std::vector<Crash>* crashes,
                                 const UpstreamEnds& ends) {
  absl::flat_hash_set<UpstreamIncarnation> own;
  for (const Crash& crash : *crashes)
    own.insert(crash.upstream);
  std::vector<absl::Time> others;
  for (const auto& [upstream, end] : ends) {
    if (!own.contains(upstream) && end.request_crashes < kMinSharedCrashes)
      others.push_back(end.at);
  }
  for (Crash& crash : *crashes) {
    const bool others_failed =
        std::any_of(others.begin(), others.end(), [&](absl::Time at) {
          return absl::AbsDuration(at - crash.at) <= kSameTime;
        });
    const bool copies_failed =
        std::any_of(crashes->begin(), crashes->end(), [&](const Crash& copy) {
          return absl::AbsDuration(copy.at - crash.at) <= kSameMoment &&
                 absl::AbsDuration(copy.wait - crash.wait) > kSameTime;
        });
    crash.is_separate = !others_failed && !copies_failed;
  }
}

std::tuple<size_t, int64_t, int64_t> CrashingParts::Candidate::Rank() const {
  // Suspects without a recent response come first: they explain the crashes of
  // what happened to be at the same upstreams.
  return {limit, -static_cast<int64_t>(count),
          -static_cast<int64_t>(crashes.size())};
}

void CrashingParts::RaiseLimits(std::vector<Candidate>* candidates) {
  const auto is_request = [](const Candidate& candidate) {
    return candidate.suspect.kind == CrashSuspect::Kind::kRequest;
  };
  // The two largest numbers of crashes of the requests at each crash.
  absl::flat_hash_map<UpstreamIncarnation, std::pair<size_t, size_t>> largest;
  for (const Candidate& candidate : *candidates) {
    if (!is_request(candidate))
      continue;
    for (const Crash& crash : candidate.crashes) {
      auto& [first, second] = largest[crash.upstream];
      second = std::max(second, std::min(first, candidate.count));
      first = std::max(first, candidate.count);
    }
  }
  for (Candidate& candidate : *candidates) {
    const bool is_doubtful =
        is_request(candidate) &&
        std::all_of(candidate.crashes.begin(), candidate.crashes.end(),
                    [&](const Crash& crash) {
                      return largest[crash.upstream].second >= candidate.count;
                    });
    if (is_doubtful)
      candidate.limit = kMaxCrashesIfDoubtful;
  }
}

std::vector<CrashingParts::Candidate> CrashingParts::Candidates() const {
  std::vector<Candidate> candidates;
  const UpstreamEnds ends = Ends();
  for (const auto& [suspect, row] : rows_) {
    std::vector<Crash> open = OpenCrashes(row);
    if (open.size() < kMaxCrashes)
      continue;
    const bool had_start = open.front().at - row.last_start < kRecentStart;
    if (suspect.kind == CrashSuspect::Kind::kRequest && !had_start)
      MarkSeparate(&open, ends);
    const size_t count = CountCrashes(open, {});
    if (count < kMaxCrashes)
      continue;
    candidates.push_back(
        {.suspect = suspect,
         .crashes = std::move(open),
         .count = count,
         .limit = had_start ? kMaxCrashesIfDoubtful : kMaxCrashes});
  }
  RaiseLimits(&candidates);
  std::erase_if(candidates, [](const Candidate& candidate) {
    return candidate.count < candidate.limit;
  });
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return std::pair(a.Rank(), a.suspect) <
                     std::pair(b.Rank(), b.suspect);
            });
  return candidates;
}

std::vector<CrashingParts::Candidate> CrashingParts::Causes() const {
  std::vector<Candidate> causes;
  absl::flat_hash_set<UpstreamIncarnation> explained;
  // Crashes are not explained by suspects of the same rank.
  absl::flat_hash_set<UpstreamIncarnation> explained_by_rank;
  std::tuple<size_t, int64_t, int64_t> rank;
  for (Candidate& candidate : Candidates()) {
    if (candidate.Rank() != rank)
      explained.insert(explained_by_rank.begin(), explained_by_rank.end());
    rank = candidate.Rank();
    if (CountCrashes(candidate.crashes, explained) < candidate.limit)
      continue;
    for (const Crash& crash : candidate.crashes)
      explained_by_rank.insert(crash.upstream);
    causes.push_back(std::move(candidate));
  }
  return causes;
}

void CrashingParts::Update(absl::Time now) {
  if (now < next_update_)
    return;
  next_update_ = now + kUpdateInterval;
  RemoveExpired(now);
  refusals_.clear();
  // The refusal of parts for each set of crashes, and those of requests.
  std::map<std::vector<UpstreamIncarnation>, Refusal> of_parts;
  std::set<std::vector<UpstreamIncarnation>> of_requests;
  for (const Candidate& cause : Causes()) {
    std::vector<UpstreamIncarnation> crashed;
    for (const Crash& crash : cause.crashes)
      crashed.push_back(crash.upstream);
    std::sort(crashed.begin(), crashed.end());
    const absl::Time last_crash = cause.crashes.back().at;
    if (cause.suspect.kind == CrashSuspect::Kind::kRequest) {
      of_requests.insert(std::move(crashed));
      refusals_.push_back({.request = cause.suspect.id,
                           .until = last_crash + RequestRefusalTime(cause)});
      continue;
    }
    if (now - cause.crashes.front().at < kDecisionDelay)
      continue;
    Refusal& refusal = of_parts[std::move(crashed)];
    refusal.parts.push_back(cause.suspect.id);
    refusal.until = last_crash + kRefusalTime;
  }
  for (auto& [crashed, refusal] : of_parts) {
    // The request holds all these parts, and others may hold some of them.
    if (of_requests.contains(crashed))
      continue;
    std::sort(refusal.parts.begin(), refusal.parts.end());
    refusals_.push_back(std::move(refusal));
  }
  std::erase_if(refusals_,
                [now](const Refusal& refusal) { return now >= refusal.until; });
  std::sort(refusals_.begin(), refusals_.end(),
            [](const Refusal& a, const Refusal& b) {
              return std::tie(a.request, a.parts) <
                     std::tie(b.request, b.parts);
            });
}

absl::Duration CrashingParts::RequestRefusalTime(const Candidate& candidate) {
  absl::Duration time = kRequestRefusalTime;
  for (size_t i = candidate.limit; i < candidate.count && time < kRefusalTime;
       ++i)
    time *= 2;
  return std::min(time, kRefusalTime);
}

void CrashingParts::RemoveExpired(absl::Time now) {
  bool has_changed = false;
  for (auto& [suspect, row] : rows_) {
    has_changed |= std::erase_if(row.crashes, [&](const Crash& crash) {
                     return now - crash.at >= kRetention;
                   }) > 0;
  }
  absl::erase_if(rows_, [&](const auto& entry) {
    const Row& row = entry.second;
    // What is cleared is kept until the others know.
    return row.crashes.empty() ||
           (OpenCrashes(row).empty() && now - row.last_start >= kRecentStart);
  });
  if (has_changed)
    UpdateDigest();
}

absl::Duration CrashingParts::RefusalTimeLeft(const CrashSuspects& suspects,
                                              absl::Time now) {
  const std::vector<PromptPart>& parts = suspects.parts;
  absl::Duration left = absl::ZeroDuration();
  for (const Refusal& refusal : Refusals(now)) {
    const bool is_other_request =
        refusal.request != 0 && refusal.request != suspects.request;
    const bool holds_all = std::all_of(
        refusal.parts.begin(), refusal.parts.end(), [&](PromptPart part) {
          return std::find(parts.begin(), parts.end(), part) != parts.end();
        });
    if (!is_other_request && holds_all)
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

bool CrashingParts::IsShared(const CrashSuspect& suspect, size_t open) {
  return suspect.kind == CrashSuspect::Kind::kPromptPart ||
         open >= kMinSharedCrashes;
}

CrashEvidence CrashingParts::Evidence(absl::Time now,
                                      const CrashSuspects& first) const {
  struct Entry {
    CrashSuspect suspect;
    std::vector<Crash> open;
    absl::Time last_start;
    bool is_first = false;
  };
  const std::vector<CrashSuspect> before_all = ListOf(first);
  std::vector<Entry> entries;
  for (const auto& [suspect, row] : rows_) {
    const bool is_first = std::find(before_all.begin(), before_all.end(),
                                    suspect) != before_all.end();
    std::vector<Crash> open = OpenCrashes(row);
    if (!is_first && !open.empty() && !IsShared(suspect, open.size()))
      continue;
    entries.push_back({.suspect = suspect,
                       .open = std::move(open),
                       .last_start = row.last_start,
                       .is_first = is_first});
  }
  const auto latest = [](const Entry& entry) {
    return entry.open.empty() ? entry.last_start : entry.open.back().at;
  };
  std::sort(
      entries.begin(), entries.end(), [&](const Entry& a, const Entry& b) {
        return std::tuple(b.is_first, b.open.size(), latest(b), b.suspect) <
               std::tuple(a.is_first, a.open.size(), latest(a), a.suspect);
      });
  CrashEvidence evidence;
  for (const Entry& entry : entries) {
    for (const Crash& crash : entry.open) {
      if (evidence.crashes.size() < kMaxCrashesSent)
        evidence.crashes.push_back({.suspect = entry.suspect,
                                    .upstream = crash.upstream,
                                    .age = now - crash.at,
                                    .wait = crash.wait});
    }
  }
  // The most recent responses first: the others do not know those yet.
  std::sort(entries.begin(), entries.end(), [](const Entry& a, const Entry& b) {
    return std::pair(a.is_first, a.last_start) >
           std::pair(b.is_first, b.last_start);
  });
  for (const Entry& entry : entries) {
    if (evidence.starts.size() >= kMaxStartsSent)
      break;
    if (now - entry.last_start >= kRecentStart)
      continue;
    evidence.starts.push_back(
        {.suspect = entry.suspect, .age = now - entry.last_start});
  }
  return evidence;
}

void CrashingParts::Merge(const CrashEvidence& evidence, absl::Time now) {
  for (const CrashEvidence::Crash& crash : evidence.crashes) {
    if (crash.age < kRetention)
      AddCrash(crash.suspect, {.upstream = crash.upstream,
                               .at = now - crash.age,
                               .wait = crash.wait});
  }
  for (const CrashEvidence::Start& start : evidence.starts) {
    auto row = rows_.find(start.suspect);
    if (row != rows_.end())
      row->second.last_start =
          std::max(row->second.last_start, now - start.age);
  }
  UpdateDigest();
  next_update_ = absl::InfinitePast();
}

void CrashingParts::UpdateDigest() {
  digest_ = 0;
  for (const auto& [suspect, row] : rows_) {
    const std::vector<Crash> open = OpenCrashes(row);
    if (!IsShared(suspect, open.size()))
      continue;
    for (const Crash& crash : open)
      digest_ ^= CrashHash(suspect, crash.upstream);
  }
}

}  // namespace chicory
