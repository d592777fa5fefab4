#ifndef REVIEW_STAND_INS_GATEWAY_PROCESS_H_
#define REVIEW_STAND_INS_GATEWAY_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "review/stand_ins/net.h"
#include "review/stand_ins/record.h"

namespace review {

/** Ports that are the same on all machines of a fleet. */
struct FleetPorts {
  uint16_t frontend = 0;
  uint16_t ready = 0;
  uint16_t control = 0;
  uint16_t internal = 0;
};

/** A process of the system on one machine, started as the deploy file says,
    with the settings of its template. Used by one thread. */
class GatewayProcess {
 public:
  struct Options {
    std::string name;
    std::string ip;
    FleetPorts ports;
    std::vector<std::string> seed_ips;
    std::string store;
    /** Folder for the settings file and the log. */
    std::string folder;
  };

  GatewayProcess(Options options, Record* record);
  /** Kills the process. */
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  bool Start();
  void Signal(int signal);
  /** Returns how the process ended if it has ended since the last call. */
  std::optional<std::string> TakeEnd();
  bool is_running() const { return pid_ > 0; }
  /** Returns whether GET /ready is answered with 200. */
  bool IsReady() const;
  Address frontend() const {
    return {.ip = options_.ip, .port = options_.ports.frontend};
  }
  const std::string& name() const { return options_.name; }

 private:
  bool WriteSettings(const std::string& path) const;

  const Options options_;
  Record* record_;
  pid_t pid_ = -1;
};

/** Returns a random loopback address of which the last part is `host`. */
std::vector<std::string> FleetIps(size_t count);
/** Returns ports that are free on all of `ips`. */
FleetPorts FreeFleetPorts(const std::vector<std::string>& ips);
/** Waits until all are ready. */
bool AwaitReady(const std::vector<GatewayProcess*>& gateways,
                Milliseconds timeout);

}  // namespace review

#endif  // REVIEW_STAND_INS_GATEWAY_PROCESS_H_
