#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "modules/net/loop_time.h"
#include "programs/program.h"
#include "stand_ins/platform_store.h"
#include "stand_ins/platform_upstream.h"

namespace chicory {
namespace {

using Json = nlohmann::json;

constexpr size_t kMaxConnections = 1000;
constexpr std::chrono::milliseconds kRestartTime(1000);

SectionRule SettingsRule() {
  SectionRule rule{"settings", false, "Settings of the stand-in platform.",
                   CommonSettings()};
  rule.keys.push_back({"engines", ValueType::kInteger, "upstreams", false, "3",
                       0, 100, "",
                       "Number of upstreams of the service `engines`."});
  rule.keys.push_back({"desks", ValueType::kInteger, "upstreams", false, "2", 0,
                       100, "", "Number of upstreams of the service `desk`."});
  return rule;
}

/** The store and the upstreams of one platform in one process, with a control
    port through which tests configure both. */
class PlatformStandIn : public HttpServer::Delegate {
 public:
  PlatformStandIn(boost::asio::io_context& loop, int engines, int desks)
      : loop_(loop),
        store_(loop),
        store_server_(loop, &store_, kMaxConnections),
        control_server_(loop, this, kMaxConnections) {
    for (int i = 1; i <= engines; ++i)
      AddUpstream("engines", absl::StrCat("engine-", i));
    for (int i = 1; i <= desks; ++i)
      AddUpstream("desk", absl::StrCat("desk-", i));
  }

  Result<void> Start() {
    const Endpoint any = *ParseEndpoint("127.0.0.1:0");
    BOOST_LEAF_CHECK(store_server_.Listen(any));
    BOOST_LEAF_CHECK(control_server_.Listen(any));
    for (auto& [name, upstream] : upstreams_) {
      BOOST_LEAF_CHECK(upstream.server->Listen(any));
      RegisterUpstream(name, "ready");
    }
    return {};
  }

  void PrintAddresses() const {
    PrintListening(
        {{"store", absl::StrCat("127.0.0.1:", store_server_.port())},
         {"control", absl::StrCat("127.0.0.1:", control_server_.port())}});
  }

  std::shared_ptr<HttpHandler> NewHandler() override {
    return std::make_shared<ControlHandler>(this);
  }
  HttpServer::Limits limits() const override { return {}; }

 private:
  struct Upstream {
    std::string service;
    std::string data_centre = "dc1";
    int cold_ms = 0;
    uint64_t started_ms = 1;
    std::unique_ptr<PlatformUpstream> handler_factory;
    std::unique_ptr<HttpServer> server;
    std::unique_ptr<boost::asio::steady_timer> restart_timer;
  };

  /** Handles a request of the test to the control port. */
  class ControlHandler : public HttpHandler {
   public:
    explicit ControlHandler(PlatformStandIn* owner) : owner_(owner) {}
    void Start(HttpRequest request, ResponseWriter* writer) override {
      const auto [status, body] = owner_->HandleControlRequest(request);
      writer->SendComplete(status, {}, body);
    }
    void OnCallerDisconnected() override {}

   private:
    PlatformStandIn* owner_;
  };

  void AddUpstream(const std::string& service, const std::string& name) {
    Upstream& upstream = upstreams_[name];
    upstream.service = service;
    upstream.handler_factory =
        std::make_unique<PlatformUpstream>(loop_, name, &observations_);
    upstream.server = std::make_unique<HttpServer>(
        loop_, upstream.handler_factory.get(), kMaxConnections);
  }

  /** Lets a crashed upstream accept no connections for kRestartTime. It returns
      under another id if `renames` is set. */
  void Restart(const std::string& name, bool renames) {
    Upstream* upstream = &upstreams_.at(name);
    const Endpoint address{
        .ip = boost::asio::ip::address_v4::loopback().to_uint(),
        .port = upstream->server->port()};
    upstream->server->StopAccepting();
    upstream->server->CloseIdle(absl::ZeroDuration());
    upstream->restart_timer =
        std::make_unique<boost::asio::steady_timer>(loop_, kRestartTime);
    upstream->restart_timer->async_wait(
        [this, name, renames, upstream,
         address](const boost::system::error_code& error) {
          if (error)
            return;
          if (renames)
            Rename(name);
          Capture([&] { return upstream->server->Listen(address); });
        });
  }

  /** Registers an upstream that has ended under another id. */
  void Rename(const std::string& name) {
    Upstream& upstream = upstreams_.at(name);
    store_.Remove("servers", upstream.handler_factory->id());
    upstream.handler_factory->SetId(absl::StrCat(name, "-", ++renamed_));
    RegisterUpstream(name, "ready");
  }

  void RegisterUpstream(const std::string& name, const std::string& state) {
    const Upstream& upstream = upstreams_.at(name);
    store_.Put(
        "servers", upstream.handler_factory->id(),
        Json{{"service", upstream.service},
             {"address", absl::StrCat("127.0.0.1:", upstream.server->port())},
             {"zone", upstream.data_centre},
             {"version", "v1"},
             {"cold-remaining-ms", upstream.cold_ms},
             {"slots", 8},
             {"state", state},
             {"sequence", 1},
             {"born", upstream.started_ms}}
            .dump());
  }

  std::pair<int, std::string> HandleControlRequest(const HttpRequest& request) {
    const Json body = Json::parse(request.body, nullptr, false);
    const std::string path(request.path());
    if (path == "/book") {
      return {200, Json{{"runs", observations_.executions},
                        {"left", observations_.disconnects},
                        {"crashing_requests", observations_.crashing_requests},
                        {"crashes", observations_.crashes},
                        {"arrivals", observations_.arrivals},
                        {"repeats", observations_.repeats},
                        {"heads", observations_.request_headers},
                        {"calls", store_.calls()}}
                       .dump()};
    }
    if (path == "/cold")
      return {200, ColdJson().dump()};
    if (path == "/limits")
      return {200, LimitsJson().dump()};
    constexpr absl::string_view kEntryPrefix = "/entry/";
    if (absl::StartsWith(path, kEntryPrefix)) {
      store_.Put("servers", path.substr(kEntryPrefix.size()), request.body);
      return {200, ""};
    }
    if (path == "/config") {
      store_.Put("config", "main", request.body);
      return {200, ""};
    }
    if (!body.is_object())
      return {400, ""};
    if (path == "/evacuate")
      return HandleEvacuation(body);
    if (path == "/store")
      return HandleStoreCommand(body.value("mode", "ok"));
    return HandleUpstreamCommand(body);
  }

  /** Returns what was counted for each limit that an upstream has named, in
      their order. */
  Json LimitsJson() const {
    const absl::Time now = SteadyNow();
    Json limits = Json::array();
    for (const auto& [name, upstream] : upstreams_) {
      for (const RequestLimitCheck::Period& period :
           upstream.handler_factory->limit_check().periods()) {
        const absl::Duration named_for =
            std::max(std::min(period.end, now) - period.first_named,
                     absl::ZeroDuration());
        limits.push_back({{"upstream", name},
                          {"limit", period.limit},
                          {"allowed", period.allowed},
                          {"worst", period.worst},
                          {"worst_of_all", period.worst_of_all},
                          {"requests", period.requests},
                          {"seconds", absl::ToDoubleSeconds(named_for)}});
      }
    }
    return limits;
  }

  /** Returns what was counted for each upstream while it was last cold. */
  Json ColdJson() const {
    Json upstreams = Json::object();
    for (const auto& [name, upstream] : upstreams_) {
      const ColdCheck& check = upstream.handler_factory->cold_check();
      upstreams[name] = {{"worst", check.worst()},
                         {"requests", check.requests()}};
    }
    return upstreams;
  }

  /** Evacuates a data centre, or withdraws that. The response stands for the
      store's acknowledgement. With `cold_ms` its upstreams are cold for so
      long. */
  std::pair<int, std::string> HandleEvacuation(const Json& body) {
    const std::string data_centre = body.value("data_centre", "");
    if (body.value("evacuated", true))
      store_.Put("evacuations", data_centre, "{}");
    else
      store_.Remove("evacuations", data_centre);
    for (auto& [name, upstream] : upstreams_) {
      if (body.contains("cold_ms") && upstream.data_centre == data_centre) {
        upstream.handler_factory->cold_check().Begin(
            SteadyNow(), absl::Milliseconds(body.value("cold_ms", 0)));
      }
    }
    return {200, ""};
  }

  std::pair<int, std::string> HandleStoreCommand(const std::string& mode) {
    if (mode == "compact")
      store_.CompactHistory();
    else if (mode == "down")
      store_.SetMode(StoreMode::kDown);
    else if (mode == "busy")
      store_.SetMode(StoreMode::kBusy);
    else if (mode == "silent")
      store_.SetMode(StoreMode::kSilent);
    else if (mode == "cut")
      store_.SetMode(StoreMode::kDisconnect);
    else
      store_.SetMode(StoreMode::kOk);
    return {200, ""};
  }

  std::pair<int, std::string> HandleUpstreamCommand(const Json& body) {
    const std::string name = body.value("name", "");
    auto found = upstreams_.find(name);
    if (found == upstreams_.end())
      return {404, ""};
    if (body.contains("mode"))
      found->second.handler_factory->SetMode(
          ParseUpstreamMode(body.value("mode", "ok")));
    if (body.contains("pace_ms"))
      found->second.handler_factory->SetEventInterval(
          body.value("pace_ms", 20));
    if (body.contains("announce")) {
      std::vector<std::pair<std::string, std::string>> fields;
      for (const auto& [field, value] : body["announce"].items()) {
        // A list names the field more than once.
        for (const Json& line : value.is_array() ? value : Json::array({value}))
          fields.emplace_back(field, line.get<std::string>());
      }
      found->second.handler_factory->SetAnnouncements(std::move(fields));
    }
    if (body.contains("crashing_part"))
      found->second.handler_factory->SetCrashingPart(
          body.value("crashing_part", ""),
          [this, name] { Restart(name, /*renames=*/false); });
    if (body.contains("crashing_target"))
      found->second.handler_factory->SetCrashingTarget(
          body.value("crashing_target", ""),
          [this, name] { Restart(name, /*renames=*/true); });
    if (!body.value("accepting", true)) {
      found->second.server->StopAccepting();
      found->second.server->CloseIdle(absl::ZeroDuration());
    }
    if (body.contains("born")) {
      found->second.started_ms = body.value("born", found->second.started_ms);
      found->second.handler_factory->OnNewIncarnation();
    }
    found->second.data_centre =
        body.value("data_centre", found->second.data_centre);
    found->second.cold_ms = body.value("cold_ms", 0);
    if (found->second.cold_ms > 0) {
      found->second.handler_factory->cold_check().Begin(
          SteadyNow(), absl::Milliseconds(found->second.cold_ms));
    }
    const std::string state = body.value("state", "");
    if (state == "gone")
      store_.Remove("servers", found->second.handler_factory->id());
    else if (!state.empty())
      RegisterUpstream(name, state);
    return {200, ""};
  }

  boost::asio::io_context& loop_;
  UpstreamObservations observations_;
  PlatformStore store_;
  HttpServer store_server_;
  HttpServer control_server_;
  std::map<std::string, Upstream> upstreams_;
  /** Number of ids given to upstreams that returned after a crash. */
  int renamed_ = 0;
};

int Run(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  int exit_code = 0;
  const auto settings = StartProgram(
      argc, argv, "stand_in_platform",
      "Stands in for the store and the upstreams of the platform, for tests.",
      SettingsRule(), &exit_code);
  if (!settings)
    return exit_code;
  boost::asio::io_context loop(1);
  PlatformStandIn platform(loop, static_cast<int>(settings->integer("engines")),
                           static_cast<int>(settings->integer("desks")));
  const auto started = Capture([&] { return platform.Start(); });
  if (!started.ok) {
    std::cerr << "stand_in_platform: " << started.error.message << "\n";
    return static_cast<int>(ExitCode::kUnavailable);
  }
  boost::asio::signal_set signals(loop, SIGTERM, SIGINT);
  signals.async_wait(
      [&](const boost::system::error_code&, int) { loop.stop(); });
  platform.PrintAddresses();
  loop.run();
  return 0;
}

}  // namespace
}  // namespace chicory

int main(int argc, char** argv) {
  return chicory::Run(argc, argv);
}
