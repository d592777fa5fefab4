#ifndef MODULES_DECISIONS_ACCOUNT_SHARES_H_
#define MODULES_DECISIONS_ACCOUNT_SHARES_H_

#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "modules/decisions/scheduled_upstream.h"

namespace chicory {

/** Tells which client accounts have got more than their fair share of what was
    placed lately.

    Load: one account makes half of the demand while all together want more than
    the capacity. The fair share is max-min: what an account does not ask for is
    divided among the others. Demand and placements are counted in engine time,
    as exponentially decaying sums for each service. Not thread-safe. */
class AccountShares {
 public:
  /** Counts the demand of a request, once for each request. */
  void OnDemand(const WorkRequest& request,
                absl::Duration engine_time,
                absl::Time now);
  void OnPlaced(const WorkRequest& request,
                absl::Duration engine_time,
                absl::Time now);
  /** Returns true if the account of the request is above its share. */
  bool IsAboveShare(const WorkRequest& request, absl::Time now);

 private:
  struct Account {
    double demand = 0;
    double placed = 0;
    /** `placed` when the level was last computed, which is compared with it. */
    double compared = 0;
  };
  struct Service {
    absl::flat_hash_map<AccountKey, Account> accounts;
    absl::Time counted_at = absl::InfinitePast();
    /** The largest share of an account, as of `computed_at`. */
    double level = 0;
    absl::Time computed_at = absl::InfinitePast();
  };
  Service& ServiceAt(const std::string& name, absl::Time now);
  static double UpdateLevel(Service& service);

  absl::flat_hash_map<std::string, Service> services_;
};

}  // namespace chicory

#endif  // MODULES_DECISIONS_ACCOUNT_SHARES_H_
