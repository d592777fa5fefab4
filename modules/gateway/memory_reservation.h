#ifndef MODULES_GATEWAY_MEMORY_RESERVATION_H_
#define MODULES_GATEWAY_MEMORY_RESERVATION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "modules/gateway/wire_codec.h"
#include "modules/net/http_client.h"

namespace chicory {

/** A reservation of memory at several engines for one prompt: either at all of
    them or at none.

    The reservation is renewed until Release is called, and lapses by itself
    soon after this process has died. Must be owned by a shared_ptr and used on
    the event loop's thread. */
class MemoryReservation
    : public std::enable_shared_from_this<MemoryReservation> {
 public:
  /** One engine's share. */
  struct Share {
    std::string upstream_id;
    Endpoint address;
    int64_t tokens = 0;
  };
  using Callback = std::function<void(bool granted)>;

  /** `id` identifies the reservation at each engine. */
  MemoryReservation(boost::asio::io_context& loop,
                    const WireCodec& codec,
                    std::string id,
                    std::vector<Share> shares);

  /** Reserves all shares; may be called once. `callback` runs once with the
      result, unless Release is called before. If one share is refused, the
      others are released. */
  void Acquire(Callback callback);
  /** Cancels the renewal and releases all shares. Further calls are ignored. */
  void Release();

  const std::string& id() const { return id_; }

 private:
  struct Slot {
    Share share;
    std::unique_ptr<HttpClient> client;
  };

  /** Calls the engine of a slot to make or renew its reservation, unless a call
      is in progress. */
  void Reserve(size_t index, bool renewal);
  void OnReserved(const HttpCallResult& outcome);
  void ScheduleRenewal();

  boost::asio::io_context& loop_;
  const WireCodec& codec_;
  const std::string id_;
  std::vector<Slot> slots_;
  boost::asio::steady_timer renewal_;
  Callback callback_;
  size_t pending_ = 0;
  bool refused_ = false;
  /** All shares were reserved; a call in progress is a renewal. */
  bool granted_ = false;
  bool released_ = false;
};

}  // namespace chicory

#endif  // MODULES_GATEWAY_MEMORY_RESERVATION_H_
