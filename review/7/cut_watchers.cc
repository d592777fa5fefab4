// The machines that watch the store are partitioned from it without a sign;
// then the configuration moves a route to another service.
#include <atomic>
#include <thread>

#include "review/stand_ins_2/harness.h"

namespace review {
namespace {

constexpr int kMachines = 8;
/** Traffic starts so long after the machines. */
constexpr double kLead = 10;
constexpr double kApplyWithin = 2.0;
constexpr double kCutFor = 5.5;
constexpr double kCutAfterChange = 0.3;
constexpr double kChangeAfterCut = 0.05;
constexpr double kInterval = 0.05;

std::string Configuration(int version, const std::string& service) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"orders","host":"a.example",
         "path-prefix":"/orders/","kind":"non_idempotent","timeout-ms":2000,
         "target-latency-ms":300,"service":")" +
         service + R"(","max-attempts":1,"priority":2,"anonymous":true}],
         "services":[{"name":"old-desk","max-connections":244},
         {"name":"new-desk","max-connections":244}],
         "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,
         "header-timeout-ms":5000,"idle-timeout-ms":30000}})";
}

/** A request that a caller sent. */
struct Sent {
  double at = 0;
  int machine = 0;
};

[[noreturn]] void Run(Case* run) {
  const bool is_disrupted = run->is_disrupted();
  Record* const record = run->record();
  Store store;
  std::mutex mutex;
  std::map<std::string, Sent> sent;
  std::map<std::string, std::string> ran;
  std::vector<std::unique_ptr<Worker>> workers;
  const auto add_worker = [&](const std::string& id,
                              const std::string& service) {
    workers.push_back(std::make_unique<Worker>(
        Worker::Options{.id = id, .on_head = nullptr},
        [&, service](const std::string&, const Message& request) {
          const std::lock_guard<std::mutex> lock(mutex);
          ran[request.Header("request-id")] = service;
        }));
    store.Put("servers", id, workers.back()->Entry(service, 24));
  };
  for (const char* service : {"old-desk", "new-desk"}) {
    add_worker(std::string(service) + "-1", service);
    add_worker(std::string(service) + "-2", service);
  }
  store.Put("config", "main", Configuration(11, "old-desk"));

  const int peers_port = FreePort("127.0.0.41");
  std::vector<std::string> seeds;
  for (int i = 0; i < 3; ++i)
    seeds.push_back("127.0.0.4" + std::to_string(i + 1) + ":1");
  std::vector<std::unique_ptr<Link>> links;
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (int i = 0; i < kMachines; ++i) {
    links.push_back(std::make_unique<Link>(store.port()));
    gateways.push_back(std::make_unique<Gateway>(
        Gateway::Options{.name = "front-" + std::to_string(i + 1),
                         .ip = "127.0.0.4" + std::to_string(i + 1),
                         .peers_port = peers_port,
                         .store_port = links.back()->port(),
                         .seeds = seeds,
                         .folder = run->folder()}));
  }
  for (const auto& gateway : gateways) {
    if (!gateway->WaitUntilReady(10))
      run->End(Outcome::kNotRun);
  }
  SleepFor(kLead);

  // One caller for each machine, with a connection that it keeps.
  std::atomic<bool> is_over{false};
  std::vector<std::thread> callers;
  for (int machine = 0; machine < kMachines; ++machine) {
    callers.emplace_back([&, machine] {
      const Gateway& gateway = *gateways[machine];
      std::unique_ptr<Connection> connection;
      for (int i = 0; !is_over; ++i) {
        if (!connection)
          connection = Connection::To(gateway.ip(), gateway.port());
        const std::string id =
            "m" + std::to_string(machine + 1) + "-" + std::to_string(i);
        {
          const std::lock_guard<std::mutex> lock(mutex);
          sent[id] = {.at = Now(), .machine = machine};
        }
        const bool is_answered =
            connection &&
            connection->Send(
                "POST /orders/a HTTP/1.1\r\nHost: a.example\r\n"
                "Request-Id: " +
                id +
                "\r\nDeadline-Ms: 4000\r\n"
                "Content-Length: 1\r\n\r\nx") &&
            connection->Read(4);
        if (!is_answered)
          connection.reset();
        SleepFor(kInterval);
      }
    });
  }
  SleepFor(3);

  const std::vector<int> watching = store.Watching("config");
  std::vector<bool> is_cut(kMachines, false);
  int cuts = 0;
  for (int i = 0; i < kMachines; ++i) {
    for (int port : watching)
      is_cut[i] = is_cut[i] || links[i]->Owns(port);
    cuts += is_cut[i] ? 1 : 0;
    if (is_cut[i])
      record->Write("front-" + std::to_string(i + 1) + " watches the store");
  }
  if (cuts == 0 || cuts == kMachines)
    is_over = true;
  add_worker("old-desk-3", "old-desk");
  store.Put("config", "main", Configuration(12, "old-desk"));
  record->Write(
      "old-desk-3 registers; version 12, which changes nothing, acknowledged");
  SleepFor(kCutAfterChange);
  if (!is_over && is_disrupted) {
    for (int i = 0; i < kMachines; ++i) {
      if (is_cut[i])
        links[i]->Cut(kCutFor);
    }
    record->Write("these are partitioned from the store for 5.5 s");
  }
  SleepFor(kChangeAfterCut);
  const double acknowledged =
      store.Put("config", "main", Configuration(13, "new-desk"));
  record->Write("version 13, which moves the route to new-desk, acknowledged");
  if (!is_over)
    SleepFor(kCutFor + 2);
  is_over = true;
  for (std::thread& caller : callers)
    caller.join();
  if (cuts == 0 || cuts == kMachines)
    run->End(Outcome::kNotRun);

  int late = 0;
  int judged = 0;
  const std::lock_guard<std::mutex> lock(mutex);
  for (const auto& [id, request] : sent) {
    const auto run = ran.find(id);
    if (is_cut[request.machine] || run == ran.end() ||
        request.at <= acknowledged + kApplyWithin)
      continue;
    ++judged;
    if (run->second != "old-desk")
      continue;
    ++late;
    record->Write("request " + id + " to front-" +
                  std::to_string(request.machine + 1) +
                  ", which was not cut, sent " +
                  std::to_string(request.at - acknowledged) +
                  " s after the acknowledgement: run by old-desk");
  }
  record->Write("requests judged " + std::to_string(judged) +
                ", run by the old service " + std::to_string(late));
  if (judged == 0)
    run->End(Outcome::kNotRun);
  run->End(late > 0 ? Outcome::kBroken : Outcome::kHeld);
}

}  // namespace
}  // namespace review

int main() {
  review::Case run;
  review::Run(&run);
}
