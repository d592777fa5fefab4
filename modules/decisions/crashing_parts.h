#ifndef MODULES_DECISIONS_CRASHING_PARTS_H_
#define MODULES_DECISIONS_CRASHING_PARTS_H_

#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "modules/decisions/scheduled_upstream.h"

namespace chicory {

/** Crashes of upstreams and the parts of prompts involved, as instances send
    them to each other. Ages are relative to the moment of sending, because the
    clocks of two instances are not comparable. */
struct CrashEvidence {
  /** `upstream` crashed before it responded to a request with `part`, which was
      sent to it `wait` before that. */
  struct Crash {
    PromptPart part = 0;
    UpstreamIncarnation upstream = 0;
    absl::Duration age;
    absl::Duration wait;
  };
  /** An upstream began to respond to a request with `part`. */
  struct Start {
    PromptPart part = 0;
    absl::Duration age;
  };
  std::vector<Crash> crashes;
  std::vector<Start> starts;
};

/** Learns which parts of prompts crash the upstreams that begin to respond to
    them, so that requests with such a part are refused whichever instance they
    reach.

    When an upstream crashes, any of the requests that it had not begun to
    respond to may be the cause, and any part of them. A response that begins
    clears all parts of its request, since no upstream survives the beginning of
    a response to a part that crashes it. A part is refused after several
    crashes without a response in between:

    - Crashes that are explained by a part with more crashes do not count.
    - Of parts that explain the same crashes, only requests that hold all are
      refused. A request with one of them shows which it is.
    - A part to which there was a response shortly before needs more crashes.
    - A crash counts only if its request was sent after the crash counted before
      it: upstreams that fail together, such as those of a rack, have one cause.

    Instances exchange their evidence; the order in which it arrives does not
    matter. Times are passed in. Not thread-safe.

    @see CrashHistory for repeats of the same request, PlacementNode */
class CrashingParts {
 public:
  /** Crashes after which a part is refused. */
  static constexpr size_t kMaxCrashes = 3;
  /** The same for a part to which there was a response within kRecentStart
      before the first of them. */
  static constexpr size_t kMaxCrashesAfterStart = 6;
  static constexpr absl::Duration kRecentStart = absl::Seconds(30);
  /** Time from the first crash to the earliest refusal, in which the responses
      seen by other instances become known. */
  static constexpr absl::Duration kDecisionDelay = absl::Seconds(1);
  /** Time after the last crash for which a part is refused. The next crash
      after that is enough to refuse it again. */
  static constexpr absl::Duration kRefusalTime = absl::Minutes(5);
  /** Time for which a crash is remembered. */
  static constexpr absl::Duration kRetention = absl::Minutes(10);
  /** Maximum number of parts with crashes that are remembered. The one with the
      fewest and oldest crashes is evicted. */
  static constexpr size_t kMaxParts = 512;

  /** Called when `upstream` crashed before it began to respond to a request
      with `parts` that was sent to it at `sent_at`. */
  void OnCrash(const std::vector<PromptPart>& parts,
               UpstreamIncarnation upstream,
               absl::Time sent_at,
               absl::Time now);
  /** Called when an upstream began to respond to a request with `parts`.
      Returns true if this cleared a part of crashes. */
  bool OnStarted(const std::vector<PromptPart>& parts, absl::Time now);
  /** Returns for how long a request with `parts` is refused; zero if it is
      not. */
  absl::Duration RefusalTimeLeft(const std::vector<PromptPart>& parts,
                                 absl::Time now);
  /** Parts of which any one may crash upstreams: requests that hold all of them
      are refused. */
  struct Refusal {
    /** Sorted. */
    std::vector<PromptPart> parts;
    absl::Time until;

    friend bool operator==(const Refusal& a, const Refusal& b) {
      return a.parts == b.parts;
    }
  };
  /** Returns the refusals in force, sorted by their parts. */
  const std::vector<Refusal>& Refusals(absl::Time now);

  /** Returns the evidence to send to another instance, the most incriminating
      first, limited to what fits into one datagram. */
  CrashEvidence Evidence(absl::Time now) const;
  /** Adds the evidence of another instance. */
  void Merge(const CrashEvidence& evidence, absl::Time now);
  /** Returns a hash of the crashes that no response has followed; 0 if there
      are none. Instances with the same evidence have the same. */
  uint32_t digest() const { return digest_; }
  /** Returns the number of parts with crashes. */
  size_t size() const { return rows_.size(); }

 private:
  struct Crash {
    UpstreamIncarnation upstream = 0;
    absl::Time at;
    /** Time from the sending of the request to the crash. */
    absl::Duration wait;
  };
  struct Row {
    /** The earliest and the last one, in no order. */
    std::vector<Crash> crashes;
    absl::Time last_start = absl::InfinitePast();
  };
  /** A part whose crashes may suffice to refuse it. */
  struct Suspect {
    PromptPart part = 0;
    /** Crashes since the last response, by time. */
    std::vector<Crash> crashes;
    /** Crashes that count, and the number at which the part is refused. */
    size_t count = 0;
    size_t limit = 0;

    /** Returns a value that is smaller for parts that are more likely to crash
        upstreams. */
    std::tuple<size_t, int64_t, int64_t> Rank() const;
  };

  void AddCrash(PromptPart part, const Crash& crash);
  void EvictRow();
  absl::Time LastStart(PromptPart part) const;
  /** Returns the crashes of `row` since its last response, by time. */
  static std::vector<Crash> OpenCrashes(const Row& row);
  /** Returns how many of `crashes`, leaving out those of the upstreams in
      `explained`, followed from requests that were sent one after the other. */
  static size_t CountCrashes(
      const std::vector<Crash>& crashes,
      const absl::flat_hash_set<UpstreamIncarnation>& explained);
  std::vector<Suspect> Suspects() const;
  /** Decides anew which parts are refused, if that may have changed. */
  void Update(absl::Time now);
  void RemoveExpired(absl::Time now);
  void UpdateDigest();

  absl::flat_hash_map<PromptPart, Row> rows_;
  /** Time of the last response by part, for parts with and without crashes, in
      two generations: `starts_` since `generation_began_`, and those before. */
  absl::flat_hash_map<PromptPart, absl::Time> starts_;
  absl::flat_hash_map<PromptPart, absl::Time> former_starts_;
  absl::Time generation_began_ = absl::InfinitePast();
  std::vector<Refusal> refusals_;
  absl::Time next_update_ = absl::InfinitePast();
  uint32_t digest_ = 0;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_CRASHING_PARTS_H_
