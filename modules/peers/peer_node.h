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

/** RPC endpoint of an instance towards its peers.

    Runs a GossipNode over Cap'n Proto RPC on a thread of its own, fetches newer
    configurations from peers, and carries the demands and grants of client
    account limits. Public functions may be called from any thread.

    @see GossipNode, AccountLimits */
class PeerNode {
 public:
  struct Options {
    GossipNode::Options gossip;
    /** Address to listen on, `ip:port`. Port 0 selects a free port. */
    std::string listen;
    /** Key shared by all instances, which authenticates their calls. Empty
        disables the check. @see PeerProof */
    std::string shared_key;
    /** Mean interval of the gossip exchanges that this node starts. */
    absl::Duration period = GossipNode::kPeriod;
  };

  /** Interface that the owning process implements.

      Called on the node's thread, or on the thread that called the function of
      PeerNode which caused the event. Implementations may call no function of
      PeerNode but Inspect. */
  class Host {
   public:
    virtual ~Host() = default;
    /** @see GossipNode::Listener */
    virtual void OnMember(const MemberRow& member) = 0;
    virtual void OnGossipUpdate(const GossipUpdate& update) = 0;
    /** Returns the configuration index in force as JSON; empty if none is
        known. */
    virtual std::string ConfigurationIndexJson() = 0;
    /** Returns a configuration blob by name; empty if it is not present. */
    virtual std::string ConfigurationBlob(const std::string& name) = 0;
    /** Called when a configuration was fetched from a peer. `blobs` holds all
        blobs that the index names. */
    virtual void OnConfiguration(const std::string& index_json,
                                 std::map<std::string, std::string> blobs) = 0;
    /** Returns the demands to report, by owning instance. */
    virtual std::map<std::string, std::vector<AccountDemand>> TakeDemands() = 0;
    /** Called on the owner of accounts with the demands of the instance `from`.
        Returns its grants. */
    virtual std::vector<AccountGrant> OnDemands(
        const std::string& from,
        const std::vector<AccountDemand>& demands) = 0;
    /** Called when an owner has granted shares to this instance. */
    virtual void OnGrants(const std::vector<AccountGrant>& grants) = 0;
    /** Returns the causal clock for the stamp of an outgoing message. */
    virtual uint64_t Stamp() = 0;
    /** Merges the stamp of a peer into the causal clock. */
    virtual void ObserveStamp(uint64_t stamp) = 0;
  };

  /** `host` must outlive this object. */
  PeerNode(Options options, Host* host);
  ~PeerNode();

  PeerNode(const PeerNode&) = delete;
  PeerNode& operator=(const PeerNode&) = delete;

  /** Starts the thread and waits until it listens. Returns false if the address
      cannot be bound. */
  bool Start();

  /** Stops the thread and waits for its end. */
  void Stop();

  /** Returns the address of this node, `ip:port`. Valid after Start. */
  std::string address() const;

  /** @see GossipNode::AddSeed */
  void AddSeed(const std::string& name,
               const std::string& address,
               const std::string& data_centre);

  /** @see GossipNode::Spread */
  void Spread(GossipUpdate update);

  /** Announces in all later messages that this instance is shutting down. */
  void Leave();

  /** Sets the configuration revision in force on this instance. */
  void SetConfigurationRevision(uint64_t revision);

  /** Calls `function` with the gossip state, holding its lock. Does nothing
      before Start. */
  void Inspect(const std::function<void(const GossipNode&)>& function) const;

 private:
  class Loop;
  std::unique_ptr<Loop> loop_;
};

}  // namespace chicory

#endif  // MODULES_PEERS_PEER_NODE_H_
