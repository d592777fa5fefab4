// Machines are stopped and started in turn while model workers read long
// prompts. A long prompt that waits for a worker at the machine that is stopped
// must still be answered.

#include <signal.h>

#include <future>
#include <memory>
#include <string>
#include <vector>

#include "review/stand_ins/caller.h"
#include "review/stand_ins/case.h"

namespace review {
namespace {

constexpr char kHost[] = "works.example";
constexpr char kKey[] = "key-1";
constexpr Milliseconds kDeadline(15000);
constexpr int kPromptTokens = 290000;
constexpr int kOutputTokens = 816;
constexpr size_t kBusyPrompts = 2;
constexpr int kStops = 3;
constexpr Milliseconds kArrivalGap(100);
/** grace-s of the deployment. */
constexpr Milliseconds kGrace(8000);
constexpr Milliseconds kRestartDelay(500);
/** Time in which the machines find each other after a start. */
constexpr Milliseconds kSettleTime(4000);

/** A long prompt of the district ledger. */
CallKind Ledger() {
  return {
      .name = "district-ledger",
      .path = "/ledger/a",
      .body = std::string(38000, 'l'),
      .fields = "Model: m\r\nToken-Count: " + std::to_string(kPromptTokens) +
                "," + std::to_string(kOutputTokens) +
                "\r\nPrefix-Hash: 5c1e07a2:40,91bd3f06:" +
                std::to_string(kPromptTokens - 40) + "\r\n",
      .deadline = kDeadline};
}

/** Sends one request over a connection of its own. */
Response Send(const GatewayProcess& gateway,
              const CallKind& kind,
              const std::string& id,
              Record* record) {
  constexpr Milliseconds kConnectTimeout(1000);
  const auto connection = Connection::Open(gateway.frontend(), kConnectTimeout);
  if (!connection)
    return {};
  record->Add("caller: sends " + id + " to " + gateway.name());
  const Clock::time_point until = Clock::now() + kind.deadline;
  connection->Write(RequestBytes(kind, kHost, kKey, id));
  Response response = connection->ReadResponse(until);
  record->Add("caller: " + id + " " + EndName(response.end) +
              " status=" + std::to_string(response.status));
  return response;
}

int Run(const std::string& record_path, const std::string& folder) {
  Record record(record_path);
  Store store(&record);
  if (!store.Start())
    return Conclude(&record, Verdict::kCouldNotRun, "no store");
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 1; i <= 3; ++i) {
    workers.push_back(std::make_unique<Worker>(
        WorkerOptions{.id = "i-engine" + std::to_string(i),
                      .service = "stile-assistant",
                      .slots = 16,
                      .events = 20,
                      .tokens_per_event = 51,
                      .work_time = Milliseconds(20),
                      .reads_prompts = true,
                      .event_time = Milliseconds(50)},
        &record));
    if (!workers.back()->Start())
      return Conclude(&record, Verdict::kCouldNotRun, "no worker");
    store.Put("servers", workers.back()->options().id, workers.back()->Entry());
  }
  store.Put("config", "main", SmallConfiguration(7));
  Fleet fleet(4, {store.address().Text()}, folder, &record);
  if (!fleet.Start())
    return Conclude(&record, Verdict::kCouldNotRun, "gateways not ready");
  const std::vector<GatewayProcess*> gateways = fleet.all();

  int lost = 0;
  int served = 0;
  for (int round = 0; round < kStops; ++round) {
    std::this_thread::sleep_for(kSettleTime);
    // Prompts that keep workers busy, and one more that waits.
    const size_t stopped = static_cast<size_t>(round);
    std::vector<std::future<Response>> others;
    for (size_t i = 1; i <= kBusyPrompts; ++i) {
      GatewayProcess* gateway = gateways[(stopped + i) % gateways.size()];
      const std::string id =
          "r" + std::to_string(round) + "-long" + std::to_string(i);
      others.push_back(std::async(std::launch::async, [=, &record] {
        return Send(*gateway, Ledger(), id, &record);
      }));
    }
    std::this_thread::sleep_for(kArrivalGap);
    const std::string id = "r" + std::to_string(round) + "-waiting";
    GatewayProcess* gateway = gateways[stopped];
    std::future<Response> waiting = std::async(
        std::launch::async,
        [=, &record] { return Send(*gateway, Ledger(), id, &record); });
    std::this_thread::sleep_for(kArrivalGap);
    if (HasTrouble()) {
      gateway->Signal(SIGTERM);
      const Clock::time_point until = Clock::now() + kGrace;
      while (Clock::now() < until && !gateway->TakeEnd())
        std::this_thread::sleep_for(Milliseconds(10));
      if (gateway->is_running())
        gateway->Signal(SIGKILL);
      std::this_thread::sleep_for(kRestartDelay);
      gateway->TakeEnd();
      gateway->Start();
    }
    const Response response = waiting.get();
    int runs = 0;
    for (const auto& worker : workers)
      runs += worker->Runs(id);
    if ((response.end == End::kNoAnswer || response.end == End::kCut) &&
        runs == 0) {
      ++lost;
      record.Add("lost: " + id + " was read, never passed on, and closed");
    }
    for (std::future<Response>& other : others)
      served += other.get().status == 200 ? 1 : 0;
    if (!AwaitReady(gateways, Milliseconds(5000)))
      return Conclude(&record, Verdict::kCouldNotRun, "gateway not back");
  }
  const std::string why = std::to_string(lost) + " of " +
                          std::to_string(kStops) +
                          " waiting requests were closed without an answer";
  if (served < kStops)
    return Conclude(&record, Verdict::kCouldNotRun, "too few were served");
  return Conclude(&record, lost > 0 ? Verdict::kBroken : Verdict::kHeld, why);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return argc == 3 ? review::Run(argv[1], argv[2]) : 2;
}
