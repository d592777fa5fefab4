#include "modules/core/memory_budget.h"

#include <algorithm>
#include <utility>

#include "absl/container/flat_hash_map.h"

namespace chicory {

namespace {

/** Memory of the smallest instance. */
constexpr size_t kSmallestInstanceBytes = size_t{112} << 20;
constexpr double kShareOfMemory = 3.0 / 8;
/** Keeps messages that have just begun from having an infinite rate. */
constexpr absl::Duration kMinAge = absl::Milliseconds(1);

}  // namespace

size_t MemoryBudget::MaxBytesFor(size_t memory_bytes) {
  const size_t memory =
      memory_bytes == 0 ? kSmallestInstanceBytes : memory_bytes;
  return static_cast<size_t>(static_cast<double>(memory) * kShareOfMemory);
}

MemoryBudget::Reservation::Reservation(MemoryBudget* budget,
                                       uint32_t client,
                                       Holder* holder)
    : budget_(budget), client_(client), holder_(holder) {
  if (budget_)
    budget_->reservations_.insert(this);
}

MemoryBudget::Reservation::~Reservation() {
  if (!budget_)
    return;
  budget_->used_bytes_ -= state_.held_bytes;
  if (is_evicted_)
    budget_->evicted_bytes_ -= state_.held_bytes;
  budget_->reservations_.erase(this);
}

void MemoryBudget::Reservation::Begin() {
  if (!budget_)
    return;
  begun_at_ = budget_->options_.now();
  if (std::exchange(is_evicted_, false))
    budget_->evicted_bytes_ -= state_.held_bytes;
}

void MemoryBudget::Reservation::Update(const State& state) {
  if (!budget_)
    return;
  budget_->used_bytes_ += state.held_bytes - state_.held_bytes;
  if (is_evicted_)
    budget_->evicted_bytes_ += state.held_bytes - state_.held_bytes;
  const bool has_grown = state.held_bytes > state_.held_bytes;
  state_ = state;
  if (has_grown)
    budget_->Enforce(this);
}

double MemoryBudget::Reservation::ProgressRate(absl::Time now) const {
  const absl::Duration age = std::max(now - begun_at_, kMinAge);
  return static_cast<double>(state_.progress_bytes) /
         absl::ToDoubleSeconds(age);
}

MemoryBudget::MemoryBudget(Options options) : options_(std::move(options)) {}

MemoryBudget::~MemoryBudget() {
  for (Reservation* reservation : reservations_)
    reservation->budget_ = nullptr;
}

void MemoryBudget::Enforce(Reservation* grown) {
  if (remaining_bytes() <= options_.max_bytes)
    return;
  const absl::Time now = options_.now();
  while (remaining_bytes() > options_.max_bytes) {
    Reservation* victim = FindVictim(grown, now);
    if (!victim)
      return;
    const Eviction eviction{.client = victim->client_,
                            .held_bytes = victim->state_.held_bytes,
                            .progress_bytes = victim->state_.progress_bytes,
                            .age = now - victim->begun_at_,
                            .used_bytes = used_bytes_,
                            .max_bytes = options_.max_bytes};
    victim->is_evicted_ = true;
    evicted_bytes_ += victim->state_.held_bytes;
    ++evictions_;
    victim->holder_->OnEvicted(eviction);
  }
}

uint32_t MemoryBudget::FindExcessiveClient() const {
  absl::flat_hash_map<uint32_t, size_t> held;
  for (const Reservation* reservation : reservations_) {
    if (reservation->state_.held_bytes > 0 && !reservation->is_evicted_)
      held[reservation->client_] += reservation->state_.held_bytes;
  }
  if (held.size() < 2)
    return 0;
  const auto largest = std::max_element(
      held.begin(), held.end(), [](const auto& left, const auto& right) {
        return left.second < right.second;
      });
  const double share =
      static_cast<double>(options_.max_bytes) * options_.max_client_share;
  return static_cast<double>(largest->second) > share ? largest->first : 0;
}

MemoryBudget::Reservation* MemoryBudget::FindVictim(Reservation* grown,
                                                    absl::Time now) const {
  size_t fixed_bytes = 0;
  size_t count = 0;
  for (const Reservation* reservation : reservations_) {
    if (reservation->is_evicted_ || reservation->state_.held_bytes == 0)
      continue;
    if (reservation->CanEnd(now))
      ++count;
    else
      fixed_bytes += reservation->state_.held_bytes;
  }
  if (count == 0)
    return nullptr;
  const size_t available =
      options_.max_bytes - std::min(options_.max_bytes, fixed_bytes);
  const size_t share = std::max(available / count, options_.min_share_bytes);
  const auto is_large = [share, now](const Reservation& reservation) {
    return !reservation.is_evicted_ && reservation.CanEnd(now) &&
           reservation.state_.held_bytes > share;
  };
  size_t large_bytes = 0;
  for (const Reservation* reservation : reservations_) {
    if (is_large(*reservation))
      large_bytes += reservation->state_.held_bytes;
  }
  if (remaining_bytes() - large_bytes > options_.max_bytes)
    return is_large(*grown) ? grown : nullptr;
  const uint32_t client = FindExcessiveClient();
  Reservation* slowest = nullptr;
  Reservation* slowest_of_client = nullptr;
  const auto consider = [now](Reservation* candidate, Reservation** slowest) {
    if (!*slowest ||
        candidate->ProgressRate(now) < (*slowest)->ProgressRate(now))
      *slowest = candidate;
  };
  for (Reservation* reservation : reservations_) {
    if (!is_large(*reservation))
      continue;
    consider(reservation, &slowest);
    if (client != 0 && reservation->client_ == client)
      consider(reservation, &slowest_of_client);
  }
  return slowest_of_client ? slowest_of_client : slowest;
}

}  // namespace chicory
