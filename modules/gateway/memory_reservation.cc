#include "modules/gateway/memory_reservation.h"

#include <utility>

namespace chicory {

namespace {

/** Memory lapses this long after its last renewal. */
constexpr absl::Duration kHold = absl::Milliseconds(3000);
constexpr std::chrono::milliseconds kRenewal(1200);
constexpr absl::Duration kCallTimeout = absl::Milliseconds(400);
constexpr int kOk = 200;

}  // namespace

MemoryReservation::MemoryReservation(boost::asio::io_context& loop,
                                     const WireCodec& codec,
                                     std::string id,
                                     std::vector<Share> shares)
    : loop_(loop), codec_(codec), id_(std::move(id)), renewal_(loop) {
  for (Share& share : shares) {
    auto caller = std::make_unique<HttpClient>(loop_, share.address);
    slots_.push_back({.share = std::move(share), .caller = std::move(caller)});
  }
}

void MemoryReservation::Acquire(Done done) {
  done_ = std::move(done);
  open_ = slots_.size();
  for (size_t i = 0; i < slots_.size(); ++i)
    Reserve(i, false);
}

void MemoryReservation::Reserve(size_t index, bool renewal) {
  Slot& slot = slots_[index];
  if (slot.caller->is_busy())
    return;
  const UpstreamCall call = codec_.ReserveMemory(slot.share.upstream_id, id_,
                                                 slot.share.tokens, kHold);
  slot.caller->Call(
      {.method = call.method,
       .target = call.target,
       .extra_head = call.extra_head,
       .body = call.body,
       .timeout = kCallTimeout},
      [self = shared_from_this(), renewal](const HttpCallResult& outcome) {
        // A renewal that fails is tried again with the next.
        if (!renewal && !self->released_)
          self->OnReserved(outcome);
      });
}

void MemoryReservation::OnReserved(const HttpCallResult& outcome) {
  --open_;
  refused_ |= !outcome.has_response || outcome.status != kOk;
  if (open_ > 0)
    return;
  const Done done = std::exchange(done_, nullptr);
  if (refused_)
    Release();
  else
    RenewLater();
  done(!refused_);
}

void MemoryReservation::RenewLater() {
  renewal_.expires_after(kRenewal);
  renewal_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (error || self->released_)
          return;
        for (size_t i = 0; i < self->slots_.size(); ++i)
          self->Reserve(i, true);
        self->RenewLater();
      });
}

void MemoryReservation::Release() {
  if (released_)
    return;
  released_ = true;
  renewal_.cancel();
  for (Slot& slot : slots_) {
    // A reservation under way would otherwise arrive after its release.
    slot.caller->Cancel();
    const UpstreamCall call = codec_.ReleaseMemory(slot.share.upstream_id, id_);
    slot.caller->Call({.method = call.method,
                       .target = call.target,
                       .extra_head = call.extra_head,
                       .body = call.body,
                       .timeout = kCallTimeout},
                      [self = shared_from_this()](const HttpCallResult&) {});
  }
}

}  // namespace chicory
