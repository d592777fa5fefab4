// Copies of a request that crashes its workers come at the same time, and
// again.
#include <atomic>
#include <thread>

#include "review/stand_ins_2/harness.h"

namespace review {
namespace {

constexpr int kMachines = 3;
constexpr int kWorkers = 12;
constexpr int kCopies = 4;
constexpr int kRounds = 5;
constexpr double kRoundEvery = 6.2;
constexpr double kLead = 10;
constexpr double kStableWindow = 5.0;
constexpr double kRestartAfter = 2.0;
/** Three heartbeats of silence. */
constexpr double kEntryLapses = 3.6;
constexpr double kWork = 0.06;
/** Copies start within this time. */
constexpr double kSpread = 0.02;
constexpr size_t kCrashes = 3;
constexpr int kAllowed = 3;
constexpr int kOrderCallers = 12;
constexpr double kOrderInterval = 0.05;

const char kConfiguration[] = R"({"version":7,"routes":[
  {"name":"lookup","host":"a.example","path-prefix":"/lookup/",
   "kind":"idempotent","timeout-ms":2000,"target-latency-ms":300,
   "service":"desk","max-attempts":2,"priority":2},
  {"name":"orders","host":"a.example","path-prefix":"/orders/",
   "kind":"non_idempotent","timeout-ms":2000,"target-latency-ms":300,
   "service":"desk","max-attempts":1,"priority":2}],
  "services":[{"name":"desk","max-connections":244}],
  "tenants":[{"name":"walkers","api-keys":["key-1"]}],
  "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,
            "header-timeout-ms":5000,"idle-timeout-ms":30000}})";

std::string RequestTo(const std::string& target, const std::string& id) {
  return "GET " + target +
         " HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer key-1\r\n"
         "Request-Id: " +
         id + "\r\nDeadline-Ms: 4000\r\n\r\n";
}

/** Sends orders, one after the other, until `is_over`, and records those that
    are lost. */
void SendOrders(const Gateway& gateway,
                int caller,
                const std::atomic<bool>& is_over,
                Record* record) {
  int lost = 0;
  int sent = 0;
  std::unique_ptr<Connection> connection;
  for (; !is_over; ++sent) {
    const std::string id =
        "order-" + std::to_string(caller) + "-" + std::to_string(sent);
    if (!connection)
      connection = Connection::To(gateway.ip(), gateway.port());
    std::optional<Message> answer;
    if (connection && connection->Send(RequestTo("/orders/" + id, id)))
      answer = connection->Read(4);
    if (!answer)
      connection.reset();
    const int status = answer ? answer->status() : 0;
    if (status != 200) {
      ++lost;
      record->Write("answered " + std::to_string(status) + ": " + id);
    }
    SleepFor(kOrderInterval);
  }
  record->Write("orders of caller " + std::to_string(caller) + ": " +
                std::to_string(sent) +
                ", not answered with 200: " + std::to_string(lost));
}

/** The workers of the service, which start again after a crash. */
class Service {
 public:
  Service(Case* run, Store* store) : run_(run), store_(store) {}

  void Start(int number, int incarnation) {
    const std::string id =
        "desk-" + std::to_string(number) + "-" + std::to_string(incarnation);
    // Never destroyed: its threads go on.
    auto* const holder = new std::atomic<Worker*>(nullptr);
    auto* const worker = new Worker(
        {.id = id, .work_s = kWork, .on_head = nullptr},
        [=, this](const std::string&, const Message& request) {
          OnArrived(holder->load(), id, number, incarnation, request);
        });
    *holder = worker;
    store_->Put("servers", id, worker->Entry("desk", 6));
  }

  /** Returns how many copies reached a worker later than the window after the
      third crash; -1 before it. */
  int Late() {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (crashes_.size() < kCrashes)
      return -1;
    int late = 0;
    for (double at : arrivals_)
      late += at > crashes_[kCrashes - 1] + kStableWindow ? 1 : 0;
    return late;
  }

 private:
  void OnArrived(Worker* worker,
                 const std::string& id,
                 int number,
                 int incarnation,
                 const Message& request) {
    if (request.target() != "/lookup/bad")
      return;
    const std::string name = request.Header("request-id");
    run_->record()->Write("reaches " + id + ": " + name);
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      arrivals_.push_back(Now());
    }
    if (!run_->is_disrupted())
      return;
    SleepFor(kWork);
    worker->Crash();
    run_->record()->Write(id + " crashes on " + name);
    const std::lock_guard<std::mutex> lock(mutex_);
    crashes_.push_back(Now());
    if (ended_.count(id) != 0)
      return;
    ended_[id] = true;
    std::thread([=, this] {
      SleepFor(kRestartAfter);
      Start(number, incarnation + 1);
      SleepFor(kEntryLapses - kRestartAfter);
      store_->Remove("servers", id);
    }).detach();
  }

  Case* const run_;
  Store* const store_;
  std::mutex mutex_;
  std::vector<double> arrivals_;
  std::vector<double> crashes_;
  std::map<std::string, bool> ended_;
};

[[noreturn]] void Run(Case* run) {
  Record* const record = run->record();
  Store store;
  Service service(run, &store);
  for (int i = 1; i <= kWorkers; ++i)
    service.Start(i, 1);
  store.Put("config", "main", kConfiguration);
  std::vector<std::unique_ptr<Gateway>> gateways;
  const int peers_port = FreePort("127.0.0.71");
  for (int i = 1; i <= kMachines; ++i) {
    gateways.push_back(std::make_unique<Gateway>(
        Gateway::Options{.name = "front-" + std::to_string(i),
                         .ip = "127.0.0.7" + std::to_string(i),
                         .peers_port = peers_port,
                         .store_port = store.port(),
                         .seeds = {"127.0.0.71:1", "127.0.0.72:1"},
                         .folder = run->folder()}));
  }
  for (const auto& gateway : gateways) {
    if (!gateway->WaitUntilReady(10))
      run->End(Outcome::kNotRun);
  }
  SleepFor(kLead);
  std::atomic<bool> is_over{false};
  std::vector<std::thread> others;
  for (int i = 0; i < kOrderCallers; ++i)
    others.emplace_back([&, i] {
      SendOrders(*gateways[i % kMachines], i + 1, is_over, record);
    });
  for (int round = 0; round < kRounds; ++round) {
    const double begin = Now();
    std::vector<std::thread> callers;
    for (int copy = 0; copy < kCopies; ++copy) {
      callers.emplace_back([&, copy] {
        SleepFor(kSpread * copy / kCopies);
        const std::string id =
            "r" + std::to_string(round) + "-" + std::to_string(copy);
        const Gateway& gateway = *gateways[copy % kMachines];
        const auto connection = Connection::To(gateway.ip(), gateway.port());
        if (!connection || !connection->Send(RequestTo("/lookup/bad", id)))
          return;
        const auto answer = connection->Read(4);
        record->Write("answered " +
                      std::to_string(answer ? answer->status() : 0) + ": " +
                      id);
      });
    }
    for (std::thread& caller : callers)
      caller.join();
    SleepUntil(begin + kRoundEvery);
  }
  is_over = true;
  for (std::thread& other : others)
    other.join();
  const int late = service.Late();
  record->Write("reached a worker later than 5 s after the third crash: " +
                std::to_string(late) + " (allowed 3; -1: no third crash)");
  if (run->is_disrupted() && late < 0)
    run->End(Outcome::kNotRun);
  run->End(late > kAllowed ? Outcome::kBroken : Outcome::kHeld);
}

}  // namespace
}  // namespace review

int main() {
  review::Case run;
  review::Run(&run);
}
