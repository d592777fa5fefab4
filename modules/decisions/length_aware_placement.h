#ifndef MODULES_DECISIONS_LENGTH_AWARE_PLACEMENT_H_
#define MODULES_DECISIONS_LENGTH_AWARE_PLACEMENT_H_

#include "modules/decisions/placement_policy.h"

namespace chicory {

/** The placement that ships.

    Looks at a few upstreams picked by chance and at the one that holds most of
    the prompt's prefix, and takes the one with the earliest estimated first
    token. Chance keeps instances that see the same old reports from picking
    the same upstream; each adds its own placements since the report. Long
    prompts are bounded per upstream and leave part of the memory to the short
    ones. A prompt beyond one upstream gets a group. @see PlacementPolicy */
class LengthAwarePlacement : public PlacementPolicy {
 public:
  struct Options {
    /** Upstreams looked at by chance for a request that is not long. */
    int choices = 3;
    /** Upstreams looked at for a long one. */
    int long_choices = 6;
    /** Long prefills of this instance under way on one upstream. */
    int max_long_prefills = 1;
    /** Prefill at or above the request's level that an upstream may have
        queued before a long prompt waits here instead, in tokens. */
    int64_t max_queued_long_tokens = 100000;
    /** Share of its bound that a request may be queued for at an upstream. */
    double queue_share = 0.5;
    /** Share of an upstream's memory that long prompts leave free. */
    double short_headroom = 0.15;
    /** Prefill rate assumed until an upstream reports one, in tokens/s. */
    double assumed_prefill_rate = 40000;
    /** Share of memory below which free memory is tight for a short request. */
    double tight_margin = 0.1;
    /** What tight memory counts for in an estimate. */
    absl::Duration tight_risk = absl::Milliseconds(500);
    /** What a longer prefill under way counts for in an estimate. */
    absl::Duration step_risk = absl::Milliseconds(15);
    /** Most upstreams in a group. */
    int max_group = 8;
    /** Share of an upstream's usable memory above which a prompt that fits
        nowhere now is split over a group. */
    double split_above = 0.4;
    /** Share of its bound that a prompt waits for a group that fits before it
        claims parts that are still in use. */
    double claim_after = 0.25;
  };

  /** Uses the default options. */
  LengthAwarePlacement() : LengthAwarePlacement(Options()) {}

  explicit LengthAwarePlacement(const Options& options) : options_(options) {}

  PlacementChoice Choose(const PlacementContext& question) override;

 private:
  struct Candidate {
    const UpstreamRow* row = nullptr;
    absl::Duration first_token_in = absl::InfiniteDuration();
    int64_t cached_tokens = 0;
  };

  /** Estimates one upstream; nothing when it cannot take the request now. */
  bool Evaluate(const PlacementContext& question,
                const UpstreamRow& row,
                Candidate* candidate) const;

  /** Time that a short request may lose on an upstream to what it cannot see:
      memory that longer work takes before the next report, and the step that
      is under way. */
  absl::Duration RiskOf(const UpstreamRow& row, int level, int64_t need) const;

  PlacementChoice ChooseGroup(const PlacementContext& question,
                              const std::vector<UpstreamId>& eligible,
                              int64_t memory_per_upstream,
                              size_t least_size) const;

  Options options_;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_LENGTH_AWARE_PLACEMENT_H_
