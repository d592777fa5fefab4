#ifndef MODULES_SERVING_RESPONSE_RESERVATION_H_
#define MODULES_SERVING_RESPONSE_RESERVATION_H_

#include <atomic>
#include <optional>
#include <string>

#include "modules/calls/checked_http_client.h"
#include "modules/core/memory_budget.h"
#include "modules/serving/shared_memory_budget.h"

namespace chicory {

/** What the incomplete response of one call takes of a memory budget. If the
    call has to end for the sake of others, it is stopped.

    Used on the thread of the call; the budget may end the call from any thread.

        ResponseReservation reservation(&memory, "127.0.0.1:80", &client);
        request.content_receiver = [&](const char* data, size_t size, ...) {
          body.append(data, size);
          return reservation.Hold(body);
        };
        const httplib::Result result = client.send(request);
        reservation.Release();
        if (reservation.is_evicted()) ...
    */
class ResponseReservation : public MemoryBudget::Holder {
 public:
  /** `memory` may be null, in which case nothing is counted; `address`, as
      `ip:port`, is that of the upstream. `client` must live until Release(). */
  ResponseReservation(SharedMemoryBudget* memory,
                      const std::string& address,
                      CheckedHttpClient* client);
  ~ResponseReservation() override;
  ResponseReservation(const ResponseReservation&) = delete;
  ResponseReservation& operator=(const ResponseReservation&) = delete;

  /** Counts the memory of `body`. Returns false if the call has to end. */
  bool Hold(const std::string& body);
  /** Ends the reservation; the client is not used any more. */
  void Release();
  /** Returns whether the call had to end. */
  bool is_evicted() const { return is_evicted_; }

  void OnEvicted(const MemoryBudget::Eviction& eviction) override;

 private:
  SharedMemoryBudget* const memory_;
  CheckedHttpClient* const client_;
  std::optional<MemoryBudget::Reservation> reservation_;
  std::atomic<bool> is_evicted_{false};
};

}  // namespace chicory

#endif  // MODULES_SERVING_RESPONSE_RESERVATION_H_
