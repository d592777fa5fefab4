#ifndef MODULES_CORE_MEMORY_BUDGET_H_
#define MODULES_CORE_MEMORY_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <functional>

#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"

namespace chicory {

/** Bounds the memory that a process holds for its peers: bodies and responses
    that are incomplete, queued or not read.

    Each connection has a reservation and states how much it holds. When the sum
    exceeds the bound, the connection that has made the least progress is told
    to release what it holds: among those that can be ended and hold at least an
    equal share of what remains for them, the one with the fewest bytes per
    second since its message began. Ordinary messages, which are far smaller
    than that share, are not affected. If one client address holds more than its
    share of the bound and others hold something as well, one of its connections
    loses.

    If that cannot bring the sum within the bound, because of what cannot be
    ended, only the message that has grown is ended, if it is large: ending the
    others would harm them and not help.

    The sum may exceed the bound only by what cannot be ended, by messages that
    are small, and by large ones that do not grow any more. Not thread-safe.

        MemoryBudget budget({.max_bytes = 42 << 20, .now = SteadyNow});
        MemoryBudget::Reservation reservation(&budget, client, this);
        reservation.Begin();
        reservation.Update({.held_bytes = buffer.capacity(),
                            .progress_bytes = received});
    */
class MemoryBudget {
 public:
  struct Options {
    /** Maximum of all reservations together. */
    size_t max_bytes = 0;
    /** Share of it that one client address may hold while others hold
        something. */
    double max_client_share = 0.5;
    /** Messages up to this size are never ended. Most ordinary bodies are
        smaller, and many of them take little memory. */
    size_t min_share_bytes = 64 << 10;
    /** Returns the time; called at the begin of a message and when the bound is
        exceeded. */
    std::function<absl::Time()> now;
  };

  /** What a connection held when it had to release it. */
  struct Eviction {
    uint32_t client = 0;
    size_t held_bytes = 0;
    uint64_t progress_bytes = 0;
    /** Time since the message began. */
    absl::Duration age;
    /** Sum of all reservations, and the maximum. */
    size_t used_bytes = 0;
    size_t max_bytes = 0;
  };

  /** Owns a reservation. */
  class Holder {
   public:
    virtual ~Holder() = default;
    /** Called when the message has to end. It counts as ended from now on; the
        implementation releases the memory soon, but not from within this call,
        which can be made from within any Update(). */
    virtual void OnEvicted(const Eviction& eviction) = 0;
  };

  /** What is held for one peer. Is released on destruction. */
  class Reservation {
   public:
    /** The state of a message. */
    struct State {
      size_t held_bytes = 0;
      /** Bytes of the message that have been received, or sent. */
      uint64_t progress_bytes = 0;
      /** Whether the message can be ended without breaking a promise. */
      bool can_end = false;
      /** Time from which it can be ended, if `can_end`. */
      absl::Time can_end_from = absl::InfinitePast();
    };

    /** `budget` may be null, in which case nothing is counted. `client` is the
        address of the peer. */
    Reservation(MemoryBudget* budget, uint32_t client, Holder* holder);
    ~Reservation();
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;

    /** Called at the begin of a message, from which its progress counts. */
    void Begin();
    /** Sets the state and has other connections release memory if the bound is
        exceeded. */
    void Update(const State& state);
    /** Returns whether the message had to end since Begin(). */
    bool is_evicted() const { return is_evicted_; }
    const State& state() const { return state_; }

   private:
    friend class MemoryBudget;
    double ProgressRate(absl::Time now) const;
    bool CanEnd(absl::Time now) const {
      return state_.can_end && state_.can_end_from <= now;
    }

    /** Null once the budget has ended. */
    MemoryBudget* budget_;
    const uint32_t client_;
    Holder* const holder_;
    State state_;
    absl::Time begun_at_;
    bool is_evicted_ = false;
  };

  explicit MemoryBudget(Options options);
  /** Reservations that are left count towards nothing: at shutdown, the event
      loop destroys connections after their server. */
  ~MemoryBudget();
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  /** Returns the sum of all reservations. */
  size_t used_bytes() const { return used_bytes_; }
  size_t max_bytes() const { return options_.max_bytes; }
  uint64_t evictions() const { return evictions_; }

  /** Returns the bound for a process that may use `memory_bytes`; if that is 0,
      the bound for the smallest instance. The rest is left to tables, idle
      connections and what the allocator cannot reuse. */
  static size_t MaxBytesFor(size_t memory_bytes);

 private:
  /** Has connections release memory until the sum is within the bound, or
      `grown` if that cannot be reached. */
  void Enforce(Reservation* grown);
  /** Returns the reservation to be ended; null if none can be. */
  Reservation* FindVictim(Reservation* grown, absl::Time now) const;
  /** Returns the client that holds more than its share while others hold
      something, or 0. */
  uint32_t FindExcessiveClient() const;
  /** Sum of the reservations that do not have to be released already. */
  size_t remaining_bytes() const { return used_bytes_ - evicted_bytes_; }

  const Options options_;
  absl::flat_hash_set<Reservation*> reservations_;
  size_t used_bytes_ = 0;
  size_t evicted_bytes_ = 0;
  uint64_t evictions_ = 0;
};

}  // namespace chicory

#endif  // MODULES_CORE_MEMORY_BUDGET_H_
