#ifndef MODULES_PEERS_PEER_NODE_H_
#define MODULES_PEERS_PEER_NODE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "modules/decisions/account_limits.h"
#include "modules/decisions/gossip_node.h"

namespace chicory {

/** The exchange with the other instances: a thread that runs a GossipNode over
    Cap'n Proto RPC, fetches newer configurations from peers and carries the
    demands and grants of shared limits. Public functions may be called from
    any thread. @see GossipNode, AccountLimits */
class PeerNode {
 public:
  struct Options {
    GossipNode::Options gossip;
    /** `ip:port`; port 0 lets the kernel choose. */
    std::string listen;
    /** Key that all instances share; empty switches the check off. */
    std::string shared_key;
    /** Time between two exchanges started here. */
    absl::Duration period = GossipNode::kPeriod;
  };

  /** What the process around this node provides. Called on the node's thread,
     or on that of the caller whose word brought the news. Of the node's
     functions only Inspect may be called from here. */
  class Host {
   public:
    virtual ~Host() = default;
    virtual void OnMember(const MemberRow& member) = 0;
    virtual void OnGossipUpdate(const GossipUpdate& rumour) = 0;
    /** The index in force here; empty when none is known. */
    virtual std::string ConfigurationIndexJson() = 0;
    /** A blob held here; empty when it is not. */
    virtual std::string ConfigurationBlob(const std::string& name) = 0;
    /** A peer's configuration, with the blobs that were missing here. */
    virtual void OnConfiguration(const std::string& index_json,
                                 std::map<std::string, std::string> blobs) = 0;
    /** Demands to tell, by owner. */
    virtual std::map<std::string, std::vector<AccountDemand>> TakeDemands() = 0;
    /** As owner: answers another instance's demands. */
    virtual std::vector<AccountGrant> OnDemands(
        const std::string& from,
        const std::vector<AccountDemand>& demands) = 0;
    virtual void OnGrants(const std::vector<AccountGrant>& grants) = 0;
    /** The causal clock: reads it, and takes note of a peer's. */
    virtual uint64_t Stamp() = 0;
    virtual void ObserveStamp(uint64_t stamp) = 0;
  };

  /** `host` must outlive this object. */
  PeerNode(Options options, Host* host);
  ~PeerNode();

  PeerNode(const PeerNode&) = delete;
  PeerNode& operator=(const PeerNode&) = delete;

  /** Starts the thread and waits until it listens; false when it cannot. */
  bool Start();

  /** Ends the thread. */
  void Stop();

  /** `ip:port` on which peers reach this node; after Start. */
  std::string address() const;

  /** @see GossipNode::AddSeed */
  void AddSeed(const std::string& name,
               const std::string& address,
               const std::string& data_centre);

  /** @see GossipNode::Spread */
  void Spread(GossipUpdate rumour);

  /** Says on all later messages that this instance leaves. */
  void Leave();

  /** The revision in force here. */
  void SetConfigurationRevision(uint64_t revision);

  /** Runs `function` on the gossip tables. */
  void Inspect(const std::function<void(const GossipNode&)>& function) const;

 private:
  class Loop;
  std::unique_ptr<Loop> loop_;
};

}  // namespace chicory

#endif  // MODULES_PEERS_PEER_NODE_H_
