#ifndef MODULES_DECISIONS_LENGTH_AWARE_PLACEMENT_H_
#define MODULES_DECISIONS_LENGTH_AWARE_PLACEMENT_H_

#include "modules/decisions/placement_policy.h"

namespace chicory {

/** The default placement policy for models.

    Evaluates a few upstreams chosen at random and the one that holds the
    longest prefix of the prompt, and takes the one with the earliest estimated
    first token. The random choice keeps instances that work from the same,
    slightly old load reports from all picking the same upstream; each instance
    adds its own placements since the report. Long prompts are limited in number
    on each upstream and leave part of its memory to short ones. A prompt that
    does not fit on one upstream is split over a group. Not thread-safe.
    @see PlacementPolicy */
class LengthAwarePlacement : public PlacementPolicy {
 public:
  struct Options {
    /** Number of upstreams sampled for a short prompt. */
    int sample_size = 3;
    /** Number of upstreams sampled for a long prompt. */
    int long_sample_size = 6;
    /** Maximum number of long prefills of this instance in progress on one
        upstream. */
    int max_long_prefills = 1;
    /** Prefill queued on an upstream at or above the level of a long prompt
        beyond which the prompt stays queued here, in tokens. */
    int64_t max_queued_long_tokens = 100000;
    /** Maximum time in the queue of an upstream, as a share of the first-token
        bound. */
    double max_queue_share = 0.5;
    /** Share of the memory of an upstream that long prompts leave free. */
    double short_prompt_reserve = 0.15;
    /** Prefill rate assumed until an upstream reports one, in tokens/s. */
    double assumed_prefill_rate = 40000;
    /** Share of the memory of an upstream below which its free memory counts as
        low for a short prompt. */
    double low_memory_share = 0.1;
    /** Time added to the estimate of an upstream with low memory. */
    absl::Duration low_memory_penalty = absl::Milliseconds(500);
    /** Time added to the estimate of an upstream with prefill of a less urgent
        level in progress. */
    absl::Duration prefill_step_penalty = absl::Milliseconds(15);
    /** Maximum number of upstreams in a group. */
    int max_group_size = 8;
    /** Share of the usable memory of an upstream above which a long prompt that
        no upstream can take at present is split over a group. */
    double split_above_share = 0.4;
    /** Share of its first-token bound that a prompt waits for a group with
        enough free memory, before it queues for memory that is in use. */
    double claim_after_share = 0.25;
  };

  /** Uses the default options. */
  LengthAwarePlacement() : LengthAwarePlacement(Options()) {}

  explicit LengthAwarePlacement(const Options& options) : options_(options) {}

  PlacementChoice Choose(const PlacementContext& context) override;

 private:
  struct Candidate {
    const UpstreamRow* row = nullptr;
    absl::Duration time_to_first_token = absl::InfiniteDuration();
    int64_t cached_tokens = 0;
  };

  /** Estimates the time to first token on one upstream.
      @returns false when the upstream cannot take the request at present */
  bool Evaluate(const PlacementContext& context,
                const UpstreamRow& row,
                Candidate* candidate) const;

  /** Returns the delay that a short prompt may suffer on an upstream from load
      that the report does not show: memory that less urgent requests take
      before the next report, and the prefill step in progress. */
  absl::Duration ContentionPenalty(const UpstreamRow& row,
                                   int level,
                                   int64_t need) const;

  /** Chooses the smallest group that can take the request at present. When
      there is none and the request has waited for claim_after_share of its
      bound, chooses a group whose members it then queues for. */
  PlacementChoice ChooseGroup(const PlacementContext& context,
                              const std::vector<UpstreamId>& eligible,
                              int64_t memory_per_upstream,
                              size_t min_size) const;

  Options options_;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_LENGTH_AWARE_PLACEMENT_H_
