#ifndef MODULES_DECISIONS_CRASHING_PARTS_H_
#define MODULES_DECISIONS_CRASHING_PARTS_H_

#include <cstdint>
#include <map>
#include <tuple>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "modules/decisions/scheduled_upstream.h"

namespace chicory {

/** What a request holds that may crash the upstreams which run it. */
struct CrashSuspects {
  /** Parts of its prompt that other requests may share. */
  std::vector<PromptPart> parts;
  /** The request as a whole; 0 for none. */
  RequestFingerprint request = 0;
};

/** A part of prompts, or a whole request, that may crash upstreams. */
struct CrashSuspect {
  enum class Kind : uint8_t { kPromptPart, kRequest };
  Kind kind = Kind::kPromptPart;
  /** A PromptPart or a RequestFingerprint. */
  uint64_t id = 0;

  friend bool operator==(const CrashSuspect& a, const CrashSuspect& b) {
    return a.kind == b.kind && a.id == b.id;
  }
  friend bool operator<(const CrashSuspect& a, const CrashSuspect& b) {
    return std::pair(a.kind, a.id) < std::pair(b.kind, b.id);
  }
  template <class H>
  friend H AbslHashValue(H state, const CrashSuspect& suspect) {
    return H::combine(std::move(state), suspect.kind, suspect.id);
  }
};

/** Crashes of upstreams and what may have caused them, as instances send them
    to each other. Ages are relative to the moment of sending, because the
    clocks of two instances are not comparable. */
struct CrashEvidence {
  /** `upstream` crashed before it responded to a request with `suspect`, which
      was sent to it `wait` before that. */
  struct Crash {
    CrashSuspect suspect;
    UpstreamIncarnation upstream = 0;
    absl::Duration age;
    absl::Duration wait;
  };
  /** An upstream began to respond to a request with `suspect`. */
  struct Start {
    CrashSuspect suspect;
    absl::Duration age;
  };
  std::vector<Crash> crashes;
  std::vector<Start> starts;
};

/** Learns which requests crash the upstreams that run them, so that they are
    refused whichever instance they reach: repeats of one request, and requests
    that share a part of their prompts.

    When an upstream crashes, any of the requests that it had not begun to
    respond to may be the cause, as a whole or any part of it. A response that
    begins clears its request and all its parts, since no upstream survives the
    beginning of a response to a cause of crashes. A suspect is refused after
    several crashes without a response in between:

    - Crashes that are explained by a suspect with more crashes do not count.
    - Of parts that explain the same crashes, only requests that hold all are
      refused. A request with one of them shows which it is.
    - A suspect with a response shortly before needs more crashes, and so does a
      request that shared each crash with another one of as many crashes. The
      next run of either shows which it is.
    - A crash of a part counts only if its request was sent after the crash
      counted before it: upstreams that fail together, such as those of a rack,
      have one cause. For a request this holds only where upstreams seem to have
      failed together, see MarkSeparate(), or where it had a response shortly
      before. Otherwise each crash counts: several copies that run at the same
      time, at several instances, crash an upstream each.

    Instances exchange their evidence; the order in which it arrives does not
    matter. A request that was at a single crash is known only to the instance
    that saw it and to those it reported to: most are never repeated. Times are
    passed in. Not thread-safe.

    @see PlacementNode */
class CrashingParts {
 public:
  /** Crashes after which a suspect is refused. */
  static constexpr size_t kMaxCrashes = 3;
  /** The same for a suspect with a response within kRecentStart before the
      first of them, and for a request that is as suspect as another one. */
  static constexpr size_t kMaxCrashesIfDoubtful = 6;
  static constexpr absl::Duration kRecentStart = absl::Seconds(30);
  /** Time from the first crash to the earliest refusal of a part, in which the
      responses seen by other instances become known. A whole request need not
      wait: it would only crash more upstreams meanwhile. */
  static constexpr absl::Duration kDecisionDelay = absl::Seconds(1);
  /** Time after the last crash for which a part is refused. The next crash
      after that is enough to refuse it again. */
  static constexpr absl::Duration kRefusalTime = absl::Minutes(5);
  /** The same for a request, for its first refusal. The time doubles with each
      further crash, up to kRefusalTime. */
  static constexpr absl::Duration kRequestRefusalTime = absl::Minutes(1);
  /** Time for which a crash is remembered. */
  static constexpr absl::Duration kRetention = absl::Minutes(10);
  /** Maximum number of suspects that are remembered. The one with the fewest
      and oldest crashes is evicted. */
  static constexpr size_t kMaxSuspects = 512;

  /** Called when `upstream` crashed before it began to respond to a request
      with `suspects` that was sent to it at `sent_at`. */
  void OnCrash(const CrashSuspects& suspects,
               UpstreamIncarnation upstream,
               absl::Time sent_at,
               absl::Time now);
  /** Called when an upstream began to respond to a request with `suspects`.
      Returns true if this cleared one of crashes. */
  bool OnStarted(const CrashSuspects& suspects, absl::Time now);
  /** Returns for how long a request with `suspects` is refused; zero if it is
      not. */
  absl::Duration RefusalTimeLeft(const CrashSuspects& suspects, absl::Time now);
  /** Requests that are refused: the repeats of `request`, or those that hold
      all of `parts`, of which any one may crash upstreams. */
  struct Refusal {
    /** 0 if the refusal is one of parts. */
    RequestFingerprint request = 0;
    /** Sorted; empty if the refusal is one of a request. */
    std::vector<PromptPart> parts;
    absl::Time until;

    friend bool operator==(const Refusal& a, const Refusal& b) {
      return a.request == b.request && a.parts == b.parts;
    }
  };
  /** Returns the refusals in force, sorted by their requests and parts. */
  const std::vector<Refusal>& Refusals(absl::Time now);

  /** Returns the evidence to send to another instance, the most incriminating
      first, limited to what fits into one datagram. What is known of `first`
      goes before all else. */
  CrashEvidence Evidence(absl::Time now, const CrashSuspects& first = {}) const;
  /** Adds the evidence of another instance. */
  void Merge(const CrashEvidence& evidence, absl::Time now);
  /** Returns a hash of the crashes that no response has followed, without those
      of requests that were at a single one; 0 if there are none. Instances with
      the same evidence have the same. */
  uint32_t digest() const { return digest_; }
  /** Returns the number of suspects. */
  size_t size() const { return rows_.size(); }

 private:
  struct Crash {
    UpstreamIncarnation upstream = 0;
    absl::Time at;
    /** Time from the sending of the request to the crash. */
    absl::Duration wait;
    /** Whether it counts even if its request was sent before the crash counted
        before it. Set by Candidates(). */
    bool is_separate = false;
  };
  /** The end of an upstream. */
  struct UpstreamEnd {
    absl::Time at = absl::InfiniteFuture();
    /** The most crashes of a request that it ran. */
    size_t request_crashes = 0;
  };
  using UpstreamEnds = absl::flat_hash_map<UpstreamIncarnation, UpstreamEnd>;
  struct Row {
    /** The earliest and the last one, in no order. */
    std::vector<Crash> crashes;
    absl::Time last_start = absl::InfinitePast();
  };
  /** A suspect whose crashes may suffice to refuse it. */
  struct Candidate {
    CrashSuspect suspect;
    /** Crashes since the last response, by time. */
    std::vector<Crash> crashes;
    /** Crashes that count, and the number at which the suspect is refused. */
    size_t count = 0;
    size_t limit = 0;

    /** Returns a value that is smaller for suspects that are more likely to
        crash upstreams. */
    std::tuple<size_t, int64_t, int64_t> Rank() const;
  };

  /** Returns `suspects` one by one. */
  static std::vector<CrashSuspect> ListOf(const CrashSuspects& suspects);
  void AddCrash(const CrashSuspect& suspect, const Crash& crash);
  void EvictRow();
  absl::Time LastStart(const CrashSuspect& suspect) const;
  /** Returns the crashes of `row` since its last response, by time. */
  static std::vector<Crash> OpenCrashes(const Row& row);
  /** Returns the ends of all upstreams whose crashes no response has followed.
   */
  UpstreamEnds Ends() const;
  /** Marks the crashes of a request that are separate ones, rather than an
      effect of upstreams that failed together. Signs of that are an upstream
      that failed at the same time, but ran neither this request nor another one
      with several crashes, and copies of the request that were sent at
     different times but ended in the same moment. */
  static void MarkSeparate(std::vector<Crash>* crashes,
                           const UpstreamEnds& ends);
  /** Returns how many of `crashes`, leaving out those of the upstreams in
      `explained`, are separate or followed from requests that were sent one
      after the other. */
  static size_t CountCrashes(
      const std::vector<Crash>& crashes,
      const absl::flat_hash_set<UpstreamIncarnation>& explained);
  /** Returns whether other instances are to know of a suspect with `open`
      crashes. */
  static bool IsShared(const CrashSuspect& suspect, size_t open);
  /** Returns all suspects with enough crashes, the most likely first. */
  std::vector<Candidate> Candidates() const;
  /** Sets the limits of requests that shared each crash with another request of
      as many crashes to kMaxCrashesIfDoubtful. */
  static void RaiseLimits(std::vector<Candidate>* candidates);
  /** Returns those candidates whose crashes no other candidate explains. */
  std::vector<Candidate> Causes() const;
  /** Returns how long after its last crash a request is refused. */
  static absl::Duration RequestRefusalTime(const Candidate& candidate);
  /** Decides anew what is refused, if that may have changed. */
  void Update(absl::Time now);
  void RemoveExpired(absl::Time now);
  void UpdateDigest();

  absl::flat_hash_map<CrashSuspect, Row> rows_;
  /** Time of the last response by suspect, with and without crashes, in two
      generations: `starts_` since `generation_began_`, and those before. */
  absl::flat_hash_map<CrashSuspect, absl::Time> starts_;
  absl::flat_hash_map<CrashSuspect, absl::Time> former_starts_;
  absl::Time generation_began_ = absl::InfinitePast();
  std::vector<Refusal> refusals_;
  absl::Time next_update_ = absl::InfinitePast();
  uint32_t digest_ = 0;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_CRASHING_PARTS_H_
