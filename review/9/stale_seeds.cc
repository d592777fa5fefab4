// The seeds of the machines are down; then a worker names a limit that holds
// for all machines together.
#include <algorithm>
#include <atomic>
#include <thread>

#include "review/stand_ins_2/harness.h"

namespace review {
namespace {

constexpr int kMachines = 3;
constexpr int kCallersPerMachine = 4;
constexpr double kCallerInterval = 0.25;
constexpr double kLead = 10;
constexpr double kNamedFor = 20;
constexpr double kStableWindow = 3.0;
constexpr double kPassedOnBefore = 0.5;
constexpr double kWindow = 4.0;
/** Requests a second from all machines together, and the rule's bound. */
constexpr int kLimit = 4;
constexpr double kAllowed = 1.5 * kLimit * kWindow + 5;

const char kConfiguration[] = R"({"version":7,"routes":[
  {"name":"lookup","host":"a.example","path-prefix":"/lookup/",
   "kind":"idempotent","timeout-ms":2000,"target-latency-ms":300,
   "service":"desk","max-attempts":2,"priority":2,"anonymous":true}],
  "services":[{"name":"desk","max-connections":244}],
  "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,
            "header-timeout-ms":5000,"idle-timeout-ms":30000}})";

struct Arrival {
  double at = 0;
  int machine = 0;
};

[[noreturn]] void Run(Case* run) {
  Record* const record = run->record();
  Store store;
  std::mutex mutex;
  std::vector<Arrival> arrivals;
  std::map<int, double> passed_on;
  std::atomic<bool> names_limit{false};
  Worker worker({.id = "desk-1",
                 .on_head = nullptr,
                 .fields =
                     [&] {
                       return names_limit
                                  ? "Server-Limit: " + std::to_string(kLimit) +
                                        "\r\n"
                                  : std::string();
                     }},
                [&](const std::string&, const Message& request) {
                  const std::lock_guard<std::mutex> lock(mutex);
                  const std::string id = request.Header("request-id");
                  arrivals.push_back({.at = Now(), .machine = id[1] - '0'});
                  record->Write("reaches desk-1: " + id);
                });
  store.Put("servers", "desk-1", worker.Entry("desk", 24));
  store.Put("config", "main", kConfiguration);

  // Nobody answers at the addresses of the seeds that are down.
  const std::vector<std::string> seeds =
      run->is_disrupted()
          ? std::vector<std::string>{"127.0.0.98:1", "127.0.0.99:1"}
          : std::vector<std::string>{"127.0.0.81:1", "127.0.0.99:1"};
  record->Write("seeds: " + seeds[0] + ", " + seeds[1]);
  const int peers_port = FreePort("127.0.0.81");
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (int i = 1; i <= kMachines; ++i) {
    gateways.push_back(std::make_unique<Gateway>(
        Gateway::Options{.name = "front-" + std::to_string(i),
                         .ip = "127.0.0.8" + std::to_string(i),
                         .peers_port = peers_port,
                         .store_port = store.port(),
                         .seeds = seeds,
                         .folder = run->folder()}));
  }
  for (const auto& gateway : gateways) {
    if (!gateway->WaitUntilReady(10))
      run->End(Outcome::kNotRun);
  }
  SleepFor(kLead);

  std::atomic<bool> is_over{false};
  std::vector<std::thread> callers;
  for (int i = 0; i < kMachines * kCallersPerMachine; ++i) {
    callers.emplace_back([&, i] {
      const int machine = i % kMachines + 1;
      const Gateway& gateway = *gateways[machine - 1];
      for (int j = 0; !is_over; ++j) {
        const std::string id = "m" + std::to_string(machine) + "-" +
                               std::to_string(i) + "-" + std::to_string(j);
        const auto connection = Connection::To(gateway.ip(), gateway.port());
        if (connection &&
            connection->Send("GET /lookup/" + id +
                             " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " +
                             id + "\r\nDeadline-Ms: 4000\r\n\r\n")) {
          const auto answer = connection->Read(4);
          const std::lock_guard<std::mutex> lock(mutex);
          if (answer && !answer->Header("server-limit").empty())
            passed_on.emplace(machine, Now());
        }
        SleepFor(kCallerInterval);
      }
    });
  }
  SleepFor(3);
  names_limit = true;
  const double named_at = Now();
  record->Write("desk-1 names Server-Limit: " + std::to_string(kLimit));
  SleepFor(kNamedFor);
  is_over = true;
  for (std::thread& caller : callers)
    caller.join();

  const std::lock_guard<std::mutex> lock(mutex);
  std::vector<double> counted;
  for (const Arrival& arrival : arrivals) {
    const auto since = passed_on.find(arrival.machine);
    if (since != passed_on.end() &&
        arrival.at >= since->second + kPassedOnBefore &&
        arrival.at >= named_at + kStableWindow &&
        arrival.at <= named_at + kNamedFor)
      counted.push_back(arrival.at);
  }
  std::sort(counted.begin(), counted.end());
  size_t most = 0;
  for (size_t i = 0; i < counted.size(); ++i) {
    const auto end =
        std::upper_bound(counted.begin(), counted.end(), counted[i] + kWindow);
    most = std::max(most, static_cast<size_t>(end - counted.begin()) - i);
  }
  record->Write("most requests in 4 s: " + std::to_string(most) + ", allowed " +
                std::to_string(kAllowed));
  if (counted.empty())
    run->End(Outcome::kNotRun);
  run->End(static_cast<double>(most) > kAllowed ? Outcome::kBroken
                                                : Outcome::kHeld);
}

}  // namespace
}  // namespace review

int main() {
  review::Case run;
  review::Run(&run);
}
