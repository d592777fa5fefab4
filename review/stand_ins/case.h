#ifndef REVIEW_STAND_INS_CASE_H_
#define REVIEW_STAND_INS_CASE_H_

#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include "review/stand_ins/configuration.h"
#include "review/stand_ins/gateway_process.h"
#include "review/stand_ins/record.h"
#include "review/stand_ins/store.h"
#include "review/stand_ins/worker.h"

namespace review {

/** How a case ends, as its exit status. */
enum class Verdict { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

/** Returns whether the case plays its disruption. */
inline bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return !trouble || std::string(trouble) != "0";
}

/** Writes the verdict to the record and returns the exit status. */
inline int Conclude(Record* record, Verdict verdict, const std::string& why) {
  static constexpr const char* kNames[] = {"HELD", "BROKEN", "COULD NOT RUN"};
  const int status = static_cast<int>(verdict);
  record->Add(std::string("verdict: ") + kNames[status] + ": " + why);
  return status;
}

/** A fleet of gateways on loopback addresses of its own. */
class Fleet {
 public:
  /** `folder` is for settings and logs. */
  Fleet(size_t count,
        const std::vector<std::string>& stores,
        const std::string& folder,
        Record* record) {
    const std::vector<std::string> ips = FleetIps(count);
    const FleetPorts ports = FreeFleetPorts(ips);
    constexpr size_t kMaxSeeds = 3;
    const std::vector<std::string> seeds(
        ips.begin(),
        ips.begin() + static_cast<int64_t>(std::min(count, kMaxSeeds)));
    for (size_t i = 0; i < count; ++i) {
      gateways_.push_back(std::make_unique<GatewayProcess>(
          GatewayProcess::Options{.name = "front-" + std::to_string(i + 1),
                                  .ip = ips[i],
                                  .ports = ports,
                                  .seed_ips = seeds,
                                  .store = stores[i % stores.size()],
                                  .folder = folder},
          record));
    }
  }

  /** Starts all and waits until they are ready. */
  bool Start() {
    constexpr Milliseconds kReadyTimeout(10000);
    for (const auto& gateway : gateways_) {
      if (!gateway->Start())
        return false;
    }
    return AwaitReady(all(), kReadyTimeout);
  }

  std::vector<GatewayProcess*> all() const {
    std::vector<GatewayProcess*> gateways;
    for (const auto& gateway : gateways_)
      gateways.push_back(gateway.get());
    return gateways;
  }
  std::vector<Address> frontends() const {
    std::vector<Address> addresses;
    for (const auto& gateway : gateways_)
      addresses.push_back(gateway->frontend());
    return addresses;
  }

 private:
  std::vector<std::unique_ptr<GatewayProcess>> gateways_;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_CASE_H_
