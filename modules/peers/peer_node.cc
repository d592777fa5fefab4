#include "modules/peers/peer_node.h"

#include <capnp/ez-rpc.h>
#include <kj/async-io.h>
#include <kj/async.h>
#include <kj/timer.h>

#include <atomic>
#include <thread>
#include <utility>

#include "absl/random/random.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/synchronization/mutex.h"
#include "absl/synchronization/notification.h"
#include "modules/config/published.h"
#include "modules/core/hashing.h"
#include "modules/peers/peer_codec.h"

namespace chicory {

namespace {

/** Interval of the event loop; bounds the delay of Stop. */
constexpr auto kLoopInterval = 50 * kj::MILLISECONDS;

constexpr auto kExchangeTimeout = 700 * kj::MILLISECONDS;
constexpr auto kFetchTimeout = 5 * kj::SECONDS;

/** Maximum number of demands accepted per call; further ones are ignored. */
constexpr size_t kMaxDemandsPerCall = 2000;

/** Maximum size of a message, which is read into memory as a whole. The largest
    ones hold one file of a configuration, of up to 1 MiB. */
constexpr uint64_t kMaxMessageBytes = 8 << 20;
constexpr capnp::ReaderOptions kReaderOptions{
    .traversalLimitInWords = kMaxMessageBytes / sizeof(capnp::word)};

}  // namespace

/** The node's event loop, thread and RPC connections. */
class PeerNode::Loop : public GossipNode::Listener {
 public:
  Loop(Options options, Host* host)
      : options_(std::move(options)), host_(host) {}

  ~Loop() noexcept override = default;

  bool Start() {
    thread_ = std::thread([this] { Run(); });
    started_.WaitForNotification();
    return is_listening_;
  }

  void Stop() {
    is_stopping_ = true;
    if (thread_.joinable())
      thread_.join();
  }

  std::string address() const { return address_; }

  /** Calls `function` with the gossip state under the lock, then delivers the
      callbacks to the host that it caused. Does nothing before Start. */
  template <class Function>
  void WithGossip(Function&& function) {
    std::vector<std::function<void()>> callbacks;
    {
      absl::MutexLock lock(&mutex_);
      if (gossip_ == nullptr)
        return;
      function(*gossip_);
      callbacks.swap(pending_callbacks_);
    }
    // Called without the lock, because the host may call Inspect.
    for (const auto& callback : callbacks)
      callback();
  }

  void Inspect(const std::function<void(const GossipNode&)>& function) {
    absl::MutexLock lock(&mutex_);
    if (gossip_ != nullptr)
      function(*gossip_);
  }

  // GossipNode::Listener. Called with the lock held, so host calls are
  // deferred.
  void OnMember(const MemberRow& member) override {
    pending_callbacks_.push_back([this, member] { host_->OnMember(member); });
  }
  void OnGossipUpdate(const GossipUpdate& update) override {
    pending_callbacks_.push_back(
        [this, update] { host_->OnGossipUpdate(update); });
  }
  void OnNewerConfiguration(const std::string& address, uint64_t) override {
    fetch_from_ = address;
  }

 private:
  class Service;

  void Run();
  void RunOnce();
  void Exchange(const OutgoingExchange& outgoing);
  void ProbeIndirectly(const std::string& name,
                       const std::vector<std::string>& helpers);
  void FetchConfiguration(const std::string& address);
  void FetchBlobs(std::string address,
                  std::string index_json,
                  std::map<std::string, std::string> blobs,
                  std::vector<std::string> missing);
  void ReportDemands();
  wire::Peer::Client ClientFor(const std::string& address);
  /** Discards a failed connection. Its destruction is deferred to the next
      iteration of the loop, because this may be called from one of its own
      callbacks. */
  void DropConnection(const std::string& address) {
    auto found = connections_.find(address);
    if (found == connections_.end())
      return;
    dropped_connections_.push_back(kj::mv(found->second));
    connections_.erase(found);
  }
  std::string ProofFor(const std::string& sender) const {
    return PeerProof(options_.shared_key, sender);
  }
  bool IsAuthentic(kj::StringPtr proof, const std::string& sender) const {
    return options_.shared_key.empty() ||
           ConstantTimeEquals(std::string_view(proof.begin(), proof.size()),
                              ProofFor(sender));
  }
  /** Returns `message` with the current stamp of the causal clock. */
  GossipMessage Stamped(GossipMessage message) {
    message.stamp = host_->Stamp();
    return message;
  }
  /** Cap'n Proto may throw while a broken connection is destroyed. */
  void DestroyDroppedConnections() {
    for (auto& client : dropped_connections_) {
      kj::runCatchingExceptions([&] { auto dropped = kj::mv(client); });
    }
    dropped_connections_.clear();
  }
  /** Sends a request. On a connection that is known to be broken Cap'n Proto
      throws synchronously; evalNow turns this into a rejected promise. */
  template <class Results, class Request>
  kj::Promise<capnp::Response<Results>> Send(Request* request,
                                             kj::Duration timeout) {
    return timer_->timeoutAfter(
        timeout, kj::evalNow([&]() -> kj::Promise<capnp::Response<Results>> {
          return request->send();
        }));
  }
  void AddTask(kj::Promise<void> task) {
    tasks_->add(task.catch_([](kj::Exception&&) {}));
  }

  /** A connection to a peer. Obtains the main interface once, because getMain
      throws on a connection that has broken. */
  struct Connection {
    explicit Connection(const std::string& address)
        : client(address, /*defaultPort=*/0, kReaderOptions),
          peer(client.getMain<wire::Peer>()) {}
    capnp::EzRpcClient client;
    wire::Peer::Client peer;
  };

  /** Ignores task failures, because each task handles its own. */
  class IgnoringErrorHandler : public kj::TaskSet::ErrorHandler {
   public:
    void taskFailed(kj::Exception&&) override {}
  };

  const Options options_;
  Host* const host_;
  std::thread thread_;
  absl::Notification started_;
  std::atomic<bool> is_stopping_{false};
  bool is_listening_ = false;
  std::string address_;

  absl::Mutex mutex_;
  std::unique_ptr<GossipNode> gossip_ ABSL_GUARDED_BY(mutex_);
  std::vector<std::function<void()>> pending_callbacks_;

  // Accessed only on the node's thread.
  absl::BitGen random_;
  kj::Timer* timer_ = nullptr;
  IgnoringErrorHandler error_handler_;
  kj::Own<kj::TaskSet> tasks_;
  std::map<std::string, kj::Own<Connection>> connections_;
  std::vector<kj::Own<Connection>> dropped_connections_;
  std::string fetch_from_;
  bool is_fetching_ = false;
  absl::Time next_exchange_ = absl::InfinitePast();
  absl::Time next_demands_ = absl::InfinitePast();
};

/** Implementation of the RPC interface for peers. */
class PeerNode::Loop::Service final : public wire::Peer::Server {
 public:
  explicit Service(Loop* loop) : loop_(loop) {}

  kj::Promise<void> exchange(ExchangeContext context) override {
    const GossipMessage message = ReadGossip(context.getParams().getMessage());
    KJ_REQUIRE(loop_->IsAuthentic(context.getParams().getMessage().getProof(),
                                  message.sender),
               "peer proof is missing or does not match the shared key");
    loop_->host_->ObserveStamp(message.stamp);
    GossipMessage reply;
    loop_->WithGossip([&](GossipNode& gossip) {
      reply = gossip.OnMessage(message, absl::Now());
    });
    auto builder = context.getResults().initAnswer();
    WriteGossip(loop_->Stamped(reply), builder);
    builder.setProof(loop_->ProofFor(reply.sender));
    return kj::READY_NOW;
  }

  kj::Promise<void> probe(ProbeContext context) override {
    const std::string address = context.getParams().getAddress();
    KJ_REQUIRE(loop_->IsAuthentic(context.getParams().getProof(), address),
               "peer proof is missing or does not match the shared key");
    auto request = loop_->ClientFor(address).configurationIndexRequest();
    request.setProof(loop_->ProofFor("index"));
    return loop_
        ->Send<wire::Peer::ConfigurationIndexResults>(&request,
                                                      kExchangeTimeout)
        .then([context](
                  auto&&) mutable { context.getResults().setAnswered(true); },
              [this, context, address](kj::Exception&&) mutable {
                loop_->DropConnection(address);
                context.getResults().setAnswered(false);
              });
  }

  kj::Promise<void> configurationIndex(
      ConfigurationIndexContext context) override {
    KJ_REQUIRE(loop_->IsAuthentic(context.getParams().getProof(), "index"),
               "peer proof is missing or does not match the shared key");
    context.getResults().setJson(loop_->host_->ConfigurationIndexJson());
    return kj::READY_NOW;
  }

  kj::Promise<void> configurationBlob(
      ConfigurationBlobContext context) override {
    KJ_REQUIRE(loop_->IsAuthentic(context.getParams().getProof(), "blob"),
               "peer proof is missing or does not match the shared key");
    context.getResults().setContent(
        loop_->host_->ConfigurationBlob(context.getParams().getName()));
    return kj::READY_NOW;
  }

  kj::Promise<void> demand(DemandContext context) override {
    const std::string sender = context.getParams().getSender();
    KJ_REQUIRE(loop_->IsAuthentic(context.getParams().getProof(), sender),
               "peer proof is missing or does not match the shared key");
    std::vector<AccountDemand> demands;
    for (const auto& demand : context.getParams().getDemands()) {
      if (demands.size() >= kMaxDemandsPerCall)
        break;
      demands.push_back({.account = demand.getAccount(),
                         .offered = {demand.getRequestsPerSecond(),
                                     demand.getTokensPerSecond()}});
    }
    const auto grants = loop_->host_->OnDemands(sender, demands);
    auto builder = context.getResults().initGrants(grants.size());
    for (size_t i = 0; i < grants.size(); ++i) {
      builder[i].setAccount(grants[i].account);
      builder[i].setRequestsPerSecond(grants[i].share.requests_per_second);
      builder[i].setTokensPerSecond(grants[i].share.tokens_per_second);
      builder[i].setValidMicroseconds(
          absl::ToInt64Microseconds(grants[i].valid_for));
    }
    return kj::READY_NOW;
  }

 private:
  Loop* loop_;
};

wire::Peer::Client PeerNode::Loop::ClientFor(const std::string& address) {
  auto found = connections_.find(address);
  if (found == connections_.end()) {
    found = connections_.emplace(address, kj::heap<Connection>(address)).first;
  }
  return found->second->peer;
}

void PeerNode::Loop::Run() {
  try {
    capnp::EzRpcServer server(kj::heap<Service>(this), options_.listen,
                              /*defaultPort=*/0, kReaderOptions);
    auto& scope = server.getWaitScope();
    const uint32_t port = server.getPort().wait(scope);
    const std::vector<std::string> parts =
        absl::StrSplit(options_.listen, absl::MaxSplits(':', 1));
    address_ = absl::StrCat(parts[0], ":", port);
    timer_ = &server.getIoProvider().getTimer();
    tasks_ = kj::heap<kj::TaskSet>(error_handler_);
    {
      absl::MutexLock lock(&mutex_);
      GossipNode::Options gossip = options_.gossip;
      gossip.address = address_;
      gossip_ = std::make_unique<GossipNode>(gossip);
      gossip_->set_listener(this);
    }
    is_listening_ = true;
    started_.Notify();
    while (!is_stopping_) {
      RunOnce();
      timer_->afterDelay(kLoopInterval).wait(scope);
    }
    tasks_ = nullptr;
    for (auto& entry : connections_)
      dropped_connections_.push_back(kj::mv(entry.second));
    connections_.clear();
    DestroyDroppedConnections();
  } catch (const kj::Exception&) {
    // If the address cannot be bound, Start returns false. Any later exception
    // ends the thread.
    if (!started_.HasBeenNotified())
      started_.Notify();
  }
}

void PeerNode::Loop::RunOnce() {
  DestroyDroppedConnections();
  const absl::Time now = absl::Now();
  if (now >= next_exchange_) {
    // Jitter keeps instances that were started together from synchronizing.
    next_exchange_ = now + options_.period * absl::Uniform(random_, 0.9, 1.1);
    std::vector<OutgoingExchange> exchanges;
    WithGossip(
        [&](GossipNode& gossip) { exchanges = gossip.Tick(now, random_); });
    for (const OutgoingExchange& outgoing : exchanges)
      Exchange(outgoing);
  }
  if (now >= next_demands_) {
    next_demands_ = now + AccountLimits::kPeriod;
    ReportDemands();
  }
  if (!fetch_from_.empty() && !is_fetching_)
    FetchConfiguration(std::exchange(fetch_from_, ""));
}

void PeerNode::Loop::Exchange(const OutgoingExchange& outgoing) {
  auto request = ClientFor(outgoing.address).exchangeRequest();
  auto builder = request.initMessage();
  WriteGossip(Stamped(outgoing.message), builder);
  builder.setProof(ProofFor(outgoing.message.sender));
  AddTask(Send<wire::Peer::ExchangeResults>(&request, kExchangeTimeout)
              .then(
                  [this](auto&& response) {
                    const GossipMessage reply =
                        ReadGossip(response.getAnswer());
                    if (!IsAuthentic(response.getAnswer().getProof(),
                                     reply.sender)) {
                      return;
                    }
                    host_->ObserveStamp(reply.stamp);
                    WithGossip([&](GossipNode& gossip) {
                      gossip.OnResponse(reply, absl::Now());
                    });
                  },
                  [this, outgoing](kj::Exception&&) {
                    DropConnection(outgoing.address);
                    std::vector<std::string> helpers;
                    WithGossip([&](GossipNode& gossip) {
                      helpers = gossip.OnExchangeUnanswered(
                          outgoing.name, absl::Now(), random_);
                    });
                    if (!helpers.empty())
                      ProbeIndirectly(outgoing.name, helpers);
                  }));
}

void PeerNode::Loop::ProbeIndirectly(const std::string& name,
                                     const std::vector<std::string>& helpers) {
  std::string target;
  std::vector<std::string> addresses;
  Inspect([&](const GossipNode& gossip) {
    if (const MemberRow* row = gossip.Find(name))
      target = row->address;
    for (const std::string& helper : helpers) {
      if (const MemberRow* row = gossip.Find(helper))
        addresses.push_back(row->address);
    }
  });
  auto probes = kj::heapArrayBuilder<kj::Promise<bool>>(addresses.size());
  for (const std::string& address : addresses) {
    auto request = ClientFor(address).probeRequest();
    request.setAddress(target);
    request.setProof(ProofFor(target));
    probes.add(Send<wire::Peer::ProbeResults>(&request, 2 * kExchangeTimeout)
                   .then([](auto&& response) { return response.getAnswered(); },
                         [this, address](kj::Exception&&) {
                           DropConnection(address);
                           return false;
                         }));
  }
  AddTask(kj::joinPromises(probes.finish())
              .then([this, name](kj::Array<bool> answered) {
                for (bool responded : answered) {
                  if (responded)
                    return;
                }
                WithGossip([&](GossipNode& gossip) {
                  gossip.OnIndirectProbesUnanswered(name, absl::Now());
                });
              }));
}

void PeerNode::Loop::FetchConfiguration(const std::string& address) {
  is_fetching_ = true;
  auto request = ClientFor(address).configurationIndexRequest();
  request.setProof(ProofFor("index"));
  AddTask(Send<wire::Peer::ConfigurationIndexResults>(&request, kFetchTimeout)
              .then(
                  [this, address](auto&& response) {
                    std::string json = response.getJson();
                    auto index = Capture(
                        [&] { return ConfigurationIndex::FromJson(json); });
                    if (!index.ok) {
                      is_fetching_ = false;
                      return;
                    }
                    std::map<std::string, std::string> blobs;
                    std::vector<std::string> missing;
                    for (const auto& [team, name] : index.value.blobs) {
                      blobs[name] = host_->ConfigurationBlob(name);
                      if (blobs[name].empty())
                        missing.push_back(name);
                    }
                    FetchBlobs(address, std::move(json), std::move(blobs),
                               std::move(missing));
                  },
                  [this, address](kj::Exception&&) {
                    DropConnection(address);
                    is_fetching_ = false;
                  }));
}

void PeerNode::Loop::FetchBlobs(std::string address,
                                std::string index_json,
                                std::map<std::string, std::string> blobs,
                                std::vector<std::string> missing) {
  if (missing.empty()) {
    is_fetching_ = false;
    host_->OnConfiguration(index_json, std::move(blobs));
    return;
  }
  const std::string name = missing.back();
  missing.pop_back();
  auto request = ClientFor(address).configurationBlobRequest();
  request.setName(name);
  request.setProof(ProofFor("blob"));
  AddTask(Send<wire::Peer::ConfigurationBlobResults>(&request, kFetchTimeout)
              .then(
                  [this, address, name, index_json = std::move(index_json),
                   blobs = std::move(blobs),
                   missing = std::move(missing)](auto&& response) mutable {
                    blobs[name] = response.getContent();
                    FetchBlobs(address, std::move(index_json), std::move(blobs),
                               std::move(missing));
                  },
                  [this, address](kj::Exception&&) {
                    DropConnection(address);
                    is_fetching_ = false;
                  }));
}

void PeerNode::Loop::ReportDemands() {
  for (const auto& entry : host_->TakeDemands()) {
    const std::string& owner = entry.first;
    const std::vector<AccountDemand>& demands = entry.second;
    std::string address;
    Inspect([&](const GossipNode& gossip) {
      if (const MemberRow* row = gossip.Find(owner))
        address = row->address;
    });
    if (address.empty())
      continue;
    auto request = ClientFor(address).demandRequest();
    request.setSender(options_.gossip.instance);
    request.setProof(ProofFor(options_.gossip.instance));
    auto builder = request.initDemands(demands.size());
    for (size_t i = 0; i < demands.size(); ++i) {
      builder[i].setAccount(demands[i].account);
      builder[i].setRequestsPerSecond(demands[i].offered.requests_per_second);
      builder[i].setTokensPerSecond(demands[i].offered.tokens_per_second);
    }
    AddTask(
        Send<wire::Peer::DemandResults>(&request, kExchangeTimeout)
            .then(
                [this](auto&& response) {
                  std::vector<AccountGrant> grants;
                  for (const auto& grant : response.getGrants()) {
                    grants.push_back({.account = grant.getAccount(),
                                      .share = {grant.getRequestsPerSecond(),
                                                grant.getTokensPerSecond()},
                                      .valid_for = absl::Microseconds(
                                          grant.getValidMicroseconds())});
                  }
                  host_->OnGrants(grants);
                },
                [this, address](kj::Exception&&) { DropConnection(address); }));
  }
}

PeerNode::PeerNode(Options options, Host* host)
    : loop_(std::make_unique<Loop>(std::move(options), host)) {}

PeerNode::~PeerNode() {
  Stop();
}

bool PeerNode::Start() {
  return loop_->Start();
}

void PeerNode::Stop() {
  loop_->Stop();
}

std::string PeerNode::address() const {
  return loop_->address();
}

void PeerNode::AddSeed(const std::string& name,
                       const std::string& address,
                       const std::string& data_centre) {
  loop_->WithGossip([&](GossipNode& gossip) {
    gossip.AddSeed(name, address, data_centre, absl::Now());
  });
}

void PeerNode::Spread(GossipUpdate update) {
  loop_->WithGossip([&](GossipNode& gossip) {
    gossip.Spread(std::move(update), absl::Now());
  });
}

void PeerNode::Leave() {
  loop_->WithGossip([](GossipNode& gossip) { gossip.Leave(absl::Now()); });
}

void PeerNode::SetConfigurationRevision(uint64_t revision) {
  loop_->WithGossip(
      [&](GossipNode& gossip) { gossip.set_configuration_revision(revision); });
}

void PeerNode::Inspect(
    const std::function<void(const GossipNode&)>& function) const {
  loop_->Inspect(function);
}

}  // namespace chicory
