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

/** One entry instance: everything between callers and upstreams, wired
    together. @see CallerApi, PeerNode, UpstreamWatcher */
class Entry : private PeerNode::Host {
 public:
  /** The settings of the entry. */
  static SectionRule SettingsRule();

  explicit Entry(const CheckedRow& settings);
  ~Entry() override;

  /** Starts to serve; kUnavailable when an address cannot be had. */
  Result<void> Start();

  /** A planned stop: new work is refused as not run, requests under way end
      within their time, the peers are told. Blocks until it is done. */
  void Stop();

  /** Names and addresses that the instance listens on. */
  std::vector<std::pair<std::string, std::string>> addresses() const {
    return addresses_;
  }

 private:
  // PeerNode::Host
  void OnMember(const MemberRow& member) override;
  void OnGossipUpdate(const GossipUpdate& rumour) override;
  std::string ConfigurationIndexJson() override;
  std::string ConfigurationBlob(const std::string& name) override;
  void OnConfiguration(const std::string& index_json,
                       std::map<std::string, std::string> blobs) override;
  std::map<std::string, std::vector<AccountDemand>> TakeDemands() override;
  std::vector<AccountGrant> OnDemands(
      const std::string& from,
      const std::vector<AccountDemand>& demands) override;
  void OnGrants(const std::vector<AccountGrant>& grants) override;
  uint64_t Stamp() override { return time_line_.stamp(); }
  void ObserveStamp(uint64_t stamp) override { time_line_.Observe(stamp); }

  void OnConfigurationInForce(const ConfigurationWatcher::Snapshot& snapshot);
  OwnerState OwnerStateOf(const AttemptId& attempt) const;
  std::vector<std::string> LiveInstances() const;
  bool IsReady() const;

  const CheckedRow settings_;
  const std::string instance_;
  const uint64_t incarnation_;
  Counters counters_;
  Timeline time_line_;
  HttpObjectStore store_;
  HttpUpstreamClient client_;
  RequestBroker broker_;
  AccountRateLimiter gate_;
  AtMostOnceRunner once_;
  ConfigurationPublisher publisher_;
  ConfigurationWatcher keeper_;
  PeerNode peers_;
  UpstreamWatcher watcher_;
  CallerApi caller_front_;
  OperatorApi operators_front_;
  HttpApiServer callers_;
  HttpApiServer operators_;
  std::atomic<bool> is_stopping_{false};
  std::vector<std::pair<std::string, std::string>> addresses_;
};

}  // namespace chicory

#endif  // PROGRAMS_ENTRY_ENTRY_H_
