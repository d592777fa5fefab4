#include "modules/gateway/request_handler.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "modules/net/loop_time.h"
#include "platform/header_codec.h"
#include "tests/logic/scripted_upstream.h"

namespace chicory {
namespace {

namespace asio = boost::asio;

constexpr char kHead[] =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Stamp: s\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";
constexpr char kFirstEvent[] = "10\r\nid: 0\ndata: a\n\n\n\r\n";
constexpr char kLastEvent[] = "10\r\nid: 1\ndata: b\n\n\n\r\n0\r\n\r\n";

/** An engine that sends the first event of a stream, is silent for `pause` and
    sends the rest. Counts the requests that it gets. */
class PausingEngine {
 public:
  PausingEngine(asio::io_context& loop, std::chrono::milliseconds pause)
      : acceptor_(loop, {asio::ip::address_v4::loopback(), 0}),
        socket_(loop),
        timer_(loop),
        pause_(pause) {
    acceptor_.async_accept(
        socket_, [this](const boost::system::error_code& error) {
          if (error)
            return;
          socket_.async_read_some(
              asio::buffer(request_),
              [this](const boost::system::error_code&, size_t) { Respond(); });
        });
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  int requests() const { return requests_; }

 private:
  void Respond() {
    ++requests_;
    asio::write(socket_, asio::buffer(std::string(kHead) + kFirstEvent));
    timer_.expires_after(pause_);
    timer_.async_wait([this](const boost::system::error_code& error) {
      boost::system::error_code ignored;
      if (!error)
        asio::write(socket_, asio::buffer(std::string(kLastEvent)), ignored);
    });
  }

  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  const std::chrono::milliseconds pause_;
  std::array<char, 4096> request_;
  int requests_ = 0;
};

/** Records what a caller gets. */
class RecordingWriter : public ResponseWriter {
 public:
  void SendComplete(int status,
                    const HttpHeaders&,
                    const std::string&) override {
    outcome = "status " + std::to_string(status);
  }
  void BeginStream(int, const HttpHeaders&) override {}
  void SendChunk(const std::string& bytes) override { body += bytes; }
  void EndStream() override { outcome = "whole"; }
  void Abort() override { outcome = "cut"; }

  std::string body;
  std::string outcome;
};

/** One instance that schedules its own requests. Decisions after the first one
    also ask for memory at an upstream that refuses to reserve it. */
class OneInstance : public PlacementNode::Transport,
                    public PlacementNode::Listener {
 public:
  OneInstance()
      : placement_({.self = 1}, this, this),
        log_({.descriptor = -1}),
        state_{.loop = loop,
               .codec = codec_,
               .log = log_,
               .metrics = metrics_,
               .table = nullptr,
               .upstreams = {},
               .pool = UpstreamPool(loop),
               .retries = RetryWindow({.ratio = 1, .slack = 100}),
               .placement = &placement_,
               .handlers = {},
               .drain = DrainPlan({.admit_for = absl::Seconds(3),
                                   .finish_within = absl::Seconds(8)}),
               .random = std::minstd_rand(1),
               .on_request_waiting = [] {}} {
    const EngineProfile engine{.slots = 4, .memory_tokens = 100000};
    RoutingTable::Options options{.version = 1};
    options.routes.push_back({.name = "stream",
                              .host = "h",
                              .path_prefix = "/",
                              .targets = {{.service = "engines"}},
                              .repeatability = Repeatability::kStreaming,
                              .timeout = absl::Seconds(8),
                              .target_latency = absl::Milliseconds(300),
                              .event_gap = absl::Milliseconds(200),
                              .max_attempts = 3,
                              .anonymous = true,
                              .resumable = true});
    options.services.push_back({.name = "engines", .engine = engine});
    state_.table = std::make_shared<const RoutingTable>(std::move(options));
    placement_.SetEngine("engines", engine);
  }

  void SetUpstreams(const std::vector<std::string>& addresses) {
    std::vector<UpstreamRecord> records;
    for (const std::string& address : addresses) {
      records.push_back({.id = "engine-" + std::to_string(records.size()),
                         .service = "engines",
                         .address = address,
                         .slots = 4});
    }
    state_.upstreams.Replace(records, false, SteadyNow());
    placement_.SetUpstreams(state_.upstreams.Ready());
  }

  /** Registers an upstream that is not scheduled. */
  void SetMemoryHolder(const std::string& address) {
    state_.upstreams.Put(
        {.id = "holder", .service = "others", .address = address, .slots = 1});
  }

  /** Handles one request until it has ended. */
  RecordingWriter Handle() {
    RecordingWriter writer;
    HttpRequest request{.method = "POST", .target = "/a", .body = "x"};
    request.headers.Add("Host", "h");
    request.headers.Add("Request-Id", "r1");
    request.headers.Add("Token-Count", "100,10");
    const auto handler = std::make_shared<RequestHandler>(&state_);
    handler->Start(std::move(request), &writer);
    const absl::Time begin = SteadyNow();
    while (writer.outcome.empty() && SteadyNow() - begin < absl::Seconds(9)) {
      loop.run_one_for(std::chrono::milliseconds(20));
      placement_.Tick(SteadyNow());
    }
    return writer;
  }

  void Send(InstanceIp, const PeerMessage&) override {}
  void OnDecision(const ScheduleDecision& decision,
                  InstanceIp scheduler) override {
    ScheduleDecision changed = decision;
    if (++decisions_ > 1)
      changed.memory.push_back(
          {.upstream = UpstreamDirectory::KeyOf("holder"), .tokens = 10});
    const auto found = state_.handlers.find(decision.key);
    if (found != state_.handlers.end())
      found->second->OnDecision(changed, scheduler);
  }
  void OnNewerConfiguration(uint64_t) override {}
  void OnPeerUpstreamChanges(const UpstreamBatch&) override {}
  void OnMissingUpstreamChange(uint64_t) override {}

  asio::io_context loop;

 private:
  const HeaderCodec codec_;
  PlacementNode placement_;
  EventLog log_;
  GatewayMetrics metrics_;
  GatewayState state_;
  int decisions_ = 0;
};

// Guards against a sound stream that was cut: its silence had led to another
// assignment, for which no memory could be reserved.
TEST_CASE("a silent attempt goes on until its replacement has its memory") {
  OneInstance instance;
  PausingEngine first(instance.loop, std::chrono::milliseconds(2500));
  PausingEngine second(instance.loop, std::chrono::milliseconds(2500));
  ScriptedUpstream holder(
      instance.loop,
      std::vector<std::string>(
          9, "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"),
      Ending::kOpen);
  instance.SetUpstreams({first.address(), second.address()});
  instance.SetMemoryHolder(EndpointText(holder.address()));
  const RecordingWriter writer = instance.Handle();
  CHECK(writer.outcome == "whole");
  CHECK(writer.body == "id: 0\ndata: a\n\n\nid: 1\ndata: b\n\n\n");
  CHECK(first.requests() + second.requests() == 1);
}

}  // namespace
}  // namespace chicory
