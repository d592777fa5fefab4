// Machines are stopped and started in turn while clients read streams over
// connections that they keep. Counts the requests that a machine takes long
// after its SIGTERM and then cuts off.

#include <signal.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "review/stand_ins/caller.h"
#include "review/stand_ins/case.h"

namespace review {
namespace {

/** Time in which the machines find each other after a start. */
constexpr Milliseconds kSettleTime(4000);
/** grace-s of the deployment. */
constexpr Milliseconds kGrace(8000);
constexpr Milliseconds kRestartDelay(500);
constexpr size_t kStops = 3;
/** The rule excuses a worker that is still at work in the last sixth of the
    grace time, on a request that was sent no later than this after the SIGTERM.
    */
constexpr int64_t kExcusedMs = 3000;

int Run(const std::string& record_path, const std::string& folder) {
  Record record(record_path);
  Store store(&record);
  if (!store.Start())
    return Conclude(&record, Verdict::kCouldNotRun, "no store");
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 1; i <= 4; ++i) {
    workers.push_back(std::make_unique<Worker>(
        WorkerOptions{.id = "i-engine" + std::to_string(i),
                      .service = "stile-assistant",
                      .slots = 16,
                      .events = 33,
                      .work_time = Milliseconds(50),
                      .event_time = Milliseconds(140)},
        &record));
    if (!workers.back()->Start())
      return Conclude(&record, Verdict::kCouldNotRun, "no worker");
    store.Put("servers", workers.back()->options().id, workers.back()->Entry());
  }
  store.Put("config", "main", SmallConfiguration(7));
  Fleet fleet(4, {store.address().Text()}, folder, &record);
  if (!fleet.Start())
    return Conclude(&record, Verdict::kCouldNotRun, "gateways not ready");
  std::this_thread::sleep_for(kSettleTime);

  const std::string walker =
      "Model: m\r\nToken-Count: 4960,1683\r\nPrefix-Hash: 5c1e07a2:40,"
      "91bd3f06:4920\r\n";
  Callers callers({.gateways = fleet.frontends(),
                   .kinds = {{.name = "walker-query",
                              .path = "/walk/a",
                              .body = std::string(1200, 'w'),
                              .fields = walker,
                              .deadline = Milliseconds(10000)}},
                   .clients = 32,
                   .start_gap = Milliseconds(150),
                   .pause = Milliseconds(0),
                   .key = "key-1"},
                  &record);
  callers.Start();
  std::this_thread::sleep_for(kSettleTime);
  std::map<std::string, int64_t> stopped_at;
  std::vector<GatewayProcess*> gateways = fleet.all();
  gateways.resize(kStops);
  for (GatewayProcess* gateway : gateways) {
    const Clock::time_point until = Clock::now() + kGrace;
    if (HasTrouble()) {
      stopped_at[gateway->frontend().Text()] = record.Now();
      gateway->Signal(SIGTERM);
      while (Clock::now() < until && !gateway->TakeEnd())
        std::this_thread::sleep_for(Milliseconds(10));
      if (gateway->is_running())
        gateway->Signal(SIGKILL);
      std::this_thread::sleep_for(kRestartDelay);
      gateway->TakeEnd();
      gateway->Start();
    } else {
      std::this_thread::sleep_until(until + kRestartDelay);
    }
    std::this_thread::sleep_for(kSettleTime);
  }
  callers.Stop();

  int lost = 0;
  int served = 0;
  for (const CallResult& result : callers.results()) {
    const Response& response = result.response;
    served += response.end == End::kComplete && response.status == 200 ? 1 : 0;
    const auto stop = stopped_at.find(result.gateway);
    if (stop == stopped_at.end() ||
        (response.end != End::kCut && response.end != End::kNoAnswer))
      continue;
    const int64_t after = result.sent_ms - stop->second;
    int runs = 0;
    for (const auto& worker : workers)
      runs += worker->Runs(result.id);
    if (after <= kExcusedMs || after > kGrace.count() || runs == 0)
      continue;
    ++lost;
    record.Add("lost: " + result.id + " sent " + std::to_string(after) +
               " ms after the SIGTERM, run, and cut off");
  }
  const std::string why =
      std::to_string(lost) +
      " requests were taken long after a SIGTERM and cut off, " +
      std::to_string(served) + " were served";
  if (served == 0)
    return Conclude(&record, Verdict::kCouldNotRun, why);
  return Conclude(&record, lost > 0 ? Verdict::kBroken : Verdict::kHeld, why);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return argc == 3 ? review::Run(argv[1], argv[2]) : 2;
}
