#ifndef PROGRAMS_ENTRY_ENTRY_H_
#define PROGRAMS_ENTRY_ENTRY_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "modules/config/schema.h"
#include "modules/core/core.h"
#include "modules/peers/peers.h"
#include "modules/serving/serving.h"
#include "modules/store/store.h"

namespace chicory {

/** One entry instance: creates and connects the parts that take requests from
    callers to upstreams.

    Start() and Stop() must be called from one thread.
    @see CallerApi, PeerNode, UpstreamWatcher */
class Entry : private PeerNode::Host {
 public:
  /** Returns the keys that the settings may have, and their bounds. */
  static SectionRule SettingsRule();

  explicit Entry(const CheckedRow& settings);
  ~Entry() override;

  /** Starts serving. Fails with kUnavailable if an address cannot be bound. */
  Result<void> Start();

  /** Shuts down in an orderly way, and blocks until that is done.

      The instance first reports that it is not ready while it still takes
      requests, then refuses new ones as not run, waits for the requests in
      progress, which their deadlines bound, and announces to its peers that it
      leaves. */
  void Stop();

  /** Returns the name and the address of each listener. */
  std::vector<std::pair<std::string, std::string>> addresses() const {
    return addresses_;
  }

 private:
  // PeerNode::Host
  void OnMember(const MemberRow& member) override;
  void OnGossipUpdate(const GossipUpdate& update) override;
  std::string ConfigurationIndexJson() override;
  std::string ConfigurationBlob(const std::string& name) override;
  void OnConfiguration(const std::string& index_json,
                       std::map<std::string, std::string> blobs) override;
  std::map<std::string, std::vector<AccountDemand>> TakeDemands() override;
  std::vector<AccountGrant> OnDemands(
      const std::string& from,
      const std::vector<AccountDemand>& demands) override;
  void OnGrants(const std::vector<AccountGrant>& grants) override;
  uint64_t Stamp() override { return timeline_.stamp(); }
  void ObserveStamp(uint64_t stamp) override { timeline_.Observe(stamp); }

  /** Applies a configuration that has come into force. */
  void OnConfigurationInForce(const ConfigurationWatcher::Snapshot& snapshot);
  /** Returns what gossip knows of the process that owns an attempt. */
  OwnerState OwnerStateOf(const AttemptId& attempt) const;
  std::vector<std::string> LiveInstances() const;
  bool IsReady() const;

  const CheckedRow settings_;
  const std::string instance_;
  const uint64_t incarnation_;
  Counters counters_;
  Timeline timeline_;
  SharedMemoryBudget memory_;
  HttpObjectStore store_;
  HttpUpstreamClient client_;
  RequestBroker broker_;
  AccountRateLimiter rate_limiter_;
  AtMostOnceRunner at_most_once_runner_;
  ConfigurationPublisher configuration_publisher_;
  ConfigurationWatcher configuration_watcher_;
  PeerNode peers_;
  UpstreamWatcher upstream_watcher_;
  CallerApi caller_api_;
  OperatorApi operator_api_;
  HttpApiServer caller_server_;
  HttpApiServer operator_server_;
  std::atomic<bool> is_stopping_{false};
  std::vector<std::pair<std::string, std::string>> addresses_;
};

}  // namespace chicory

#endif  // PROGRAMS_ENTRY_ENTRY_H_
