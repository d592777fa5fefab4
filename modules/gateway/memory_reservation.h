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

/** Memory set aside at several engines for one prompt: all of it or none.

    It is renewed until Release, and lapses by itself soon after this process
    dies. Belongs to the event loop's thread. */
class MemoryReservation
    : public std::enable_shared_from_this<MemoryReservation> {
 public:
  /** One engine's share. */
  struct Share {
    std::string upstream_id;
    Endpoint address;
    int64_t tokens = 0;
  };
  using Done = std::function<void(bool held)>;

  /** `id` names the memory at each engine. */
  MemoryReservation(boost::asio::io_context& loop,
                    const WireCodec& codec,
                    std::string id,
                    std::vector<Share> shares);

  /** Asks for all shares; `done` runs once, unless Release comes before it.
      When one is refused, those that were given are released. */
  void Acquire(Done done);
  /** Gives everything back. */
  void Release();

  const std::string& id() const { return id_; }

 private:
  struct Slot {
    Share share;
    std::unique_ptr<HttpClient> caller;
  };

  void Reserve(size_t index, bool renewal);
  void OnReserved(const HttpCallResult& outcome);
  void RenewLater();

  boost::asio::io_context& loop_;
  const WireCodec& codec_;
  const std::string id_;
  std::vector<Slot> slots_;
  boost::asio::steady_timer renewal_;
  Done done_;
  size_t open_ = 0;
  bool refused_ = false;
  bool released_ = false;
};

}  // namespace chicory

#endif  // MODULES_GATEWAY_MEMORY_RESERVATION_H_
