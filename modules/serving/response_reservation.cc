#include "modules/serving/response_reservation.h"

#include "modules/net/socket_options.h"

namespace chicory {

ResponseReservation::ResponseReservation(SharedMemoryBudget* memory,
                                         const std::string& address,
                                         CheckedHttpClient* client)
    : memory_(memory), client_(client) {
  if (!memory_)
    return;
  const auto endpoint = ParseEndpoint(address);
  const absl::MutexLock lock(&memory_->mutex);
  reservation_.emplace(&memory_->budget, endpoint ? endpoint->ip : 0, this);
  reservation_->Begin();
}

ResponseReservation::~ResponseReservation() {
  Release();
}

bool ResponseReservation::Hold(const std::string& body) {
  if (!memory_)
    return true;
  const absl::MutexLock lock(&memory_->mutex);
  reservation_->Update({.held_bytes = body.capacity(),
                        .progress_bytes = body.size(),
                        .can_end = true});
  return !is_evicted_;
}

void ResponseReservation::Release() {
  if (!memory_)
    return;
  const absl::MutexLock lock(&memory_->mutex);
  reservation_.reset();
}

void ResponseReservation::OnEvicted(const MemoryBudget::Eviction&) {
  is_evicted_ = true;
  // The call may wait for bytes that never come.
  client_->stop();
}

}  // namespace chicory
