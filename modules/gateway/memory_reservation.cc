#include "modules/gateway/memory_reservation.h"

#include <utility>

namespace chicory {

namespace {

/** A reservation lapses this long after its last renewal. */
constexpr absl::Duration kReservationLifetime = absl::Milliseconds(3000);
constexpr std::chrono::milliseconds kRenewalInterval(1200);
constexpr absl::Duration kCallTimeout = absl::Milliseconds(400);
/** Only the status of a response counts; engines send a few bytes with it. */
constexpr size_t kMaxResponseBytes = 64 << 10;
constexpr int kOk = 200;

}  // namespace

MemoryReservation::MemoryReservation(boost::asio::io_context& loop,
                                     const WireCodec& codec,
                                     std::string id,
                                     std::vector<Share> shares)
    : loop_(loop), codec_(codec), id_(std::move(id)), renewal_(loop) {
  for (Share& share : shares) {
    auto client = std::make_unique<HttpClient>(loop_, share.address);
    slots_.push_back({.share = std::move(share), .client = std::move(client)});
  }
}

void MemoryReservation::Acquire(Callback callback) {
  callback_ = std::move(callback);
  pending_ = slots_.size();
  for (size_t i = 0; i < slots_.size(); ++i)
    Reserve(i, false);
}

void MemoryReservation::Reserve(size_t index, bool renewal) {
  Slot& slot = slots_[index];
  if (slot.client->is_busy())
    return;
  const UpstreamCall call = codec_.ReserveMemory(
      slot.share.upstream_id, id_, slot.share.tokens, kReservationLifetime);
  slot.client->Call(
      {.method = call.method,
       .target = call.target,
       .extra_head = call.extra_head,
       .body = call.body,
       .timeout = kCallTimeout,
       .max_body_bytes = kMaxResponseBytes},
      [self = shared_from_this(), renewal](const HttpCallResult& outcome) {
        // A failed renewal is retried at the next interval.
        if (!renewal && !self->released_)
          self->OnReserved(outcome);
      });
}

void MemoryReservation::OnReserved(const HttpCallResult& outcome) {
  --pending_;
  refused_ |= !outcome.has_response || outcome.status != kOk;
  if (pending_ > 0)
    return;
  const Callback callback = std::exchange(callback_, nullptr);
  granted_ = !refused_;
  if (refused_)
    Release();
  else
    ScheduleRenewal();
  callback(!refused_);
}

void MemoryReservation::ScheduleRenewal() {
  renewal_.expires_after(kRenewalInterval);
  renewal_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (error || self->released_)
          return;
        for (size_t i = 0; i < self->slots_.size(); ++i)
          self->Reserve(i, true);
        self->ScheduleRenewal();
      });
}

void MemoryReservation::Release() {
  if (released_)
    return;
  released_ = true;
  renewal_.cancel();
  for (Slot& slot : slots_) {
    const bool is_unsent = !granted_ && slot.client->is_connecting();
    // Without this, a reservation call in flight could arrive after the
    // release.
    slot.client->Cancel();
    if (is_unsent)
      continue;
    const UpstreamCall call = codec_.ReleaseMemory(slot.share.upstream_id, id_);
    slot.client->Call({.method = call.method,
                       .target = call.target,
                       .extra_head = call.extra_head,
                       .body = call.body,
                       .timeout = kCallTimeout,
                       .max_body_bytes = kMaxResponseBytes},
                      [self = shared_from_this()](const HttpCallResult&) {});
  }
}

}  // namespace chicory
