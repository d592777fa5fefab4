// Workers hand out wrong bytes: a few answers of one worker have a head with a
// length that no answer has. Counts the requests that the gateways had passed
// on to sound workers and that end without an answer.

#include <atomic>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "review/stand_ins/caller.h"
#include "review/stand_ins/case.h"

namespace review {
namespace {

constexpr Milliseconds kLength(108000);
/** The workers hand out wrong bytes for kTroubleLength in each kTroublePeriod,
    after a quiet start. */
constexpr Milliseconds kQuietStart(2000);
constexpr Milliseconds kTroublePeriod(8000);
constexpr Milliseconds kTroubleLength(5500);
/** The platform starts a process that has ended again after this time. */
constexpr Milliseconds kRestartDelay(1000);
/** One answer in so many of the faulty worker is spoiled. */
constexpr int kSpoiledEvery = 50;
constexpr int kBodyBytes = 800;
/** The rule allows this many requests. */
constexpr int kAllowedLosses = 3;

/** Spoils every kSpoiledEvery-th answer of the worker while there is trouble.
 */
class Spoiler {
 public:
  explicit Spoiler(const Record& record) : record_(record) {}

  std::optional<std::string> Answer(const Request& request);

 private:
  bool IsTroubled() const {
    const int64_t since = record_.Now() - kQuietStart.count();
    return HasTrouble() && since >= 0 &&
           since % kTroublePeriod.count() < kTroubleLength.count();
  }

  const Record& record_;
  std::atomic<int> answers_ = 0;
};

std::optional<std::string> Spoiler::Answer(const Request& request) {
  if (!IsTroubled() || ++answers_ % kSpoiledEvery != 0)
    return std::nullopt;
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + request.Field("request-id") +
         "\r\nResponse-Stamp: spoiled\r\n"
         "Content-Length: 8002451873009624\r\n\r\n" +
         std::string(kBodyBytes, 'b');
}

int Run(const std::string& record_path, const std::string& folder) {
  Record record(record_path);
  Store store(&record);
  if (!store.Start())
    return Conclude(&record, Verdict::kCouldNotRun, "no store");
  Spoiler spoiler(record);
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 1; i <= 3; ++i) {
    WorkerOptions options{.id = "i-desk" + std::to_string(i),
                          .service = "works-desk"};
    if (i == 1) {
      options.spoiled_answer = [&spoiler](const Request& request) {
        return spoiler.Answer(request);
      };
    }
    workers.push_back(std::make_unique<Worker>(options, &record));
  }
  for (int i = 1; i <= 4; ++i) {
    workers.push_back(std::make_unique<Worker>(
        WorkerOptions{.id = "i-engine" + std::to_string(i),
                      .service = "stile-assistant",
                      .slots = 16,
                      .events = 20,
                      .work_time = Milliseconds(250)},
        &record));
  }
  for (const auto& worker : workers) {
    if (!worker->Start())
      return Conclude(&record, Verdict::kCouldNotRun, "no worker");
    store.Put("servers", worker->options().id, worker->Entry());
  }
  store.Put("config", "main", SmallConfiguration(7));
  Fleet fleet(4, {store.address().Text()}, folder, &record);
  if (!fleet.Start())
    return Conclude(&record, Verdict::kCouldNotRun, "gateways not ready");

  const std::string survey =
      "Model: m\r\nToken-Count: 45000,300\r\nPrefix-Hash: 5c1e07a2:40,"
      "91bd3f06:44960\r\n";
  Callers callers(
      {.gateways = fleet.frontends(),
       .kinds = {{.name = "booking", .path = "/book/a", .body = "booking"},
                 {.name = "job-status", .method = "GET", .path = "/status/a"},
                 {.name = "trail-survey",
                  .path = "/walk/a",
                  .body = "survey",
                  .fields = survey,
                  .deadline = Milliseconds(10000)}},
       .clients = 24,
       .pause = Milliseconds(300),
       .key = "key-1"},
      &record);
  callers.Start();
  int ends = 0;
  const Clock::time_point until = Clock::now() + kLength;
  std::map<GatewayProcess*, Clock::time_point> ended;
  while (Clock::now() < until) {
    for (GatewayProcess* gateway : fleet.all()) {
      if (gateway->TakeEnd()) {
        ++ends;
        ended[gateway] = Clock::now();
      } else if (!gateway->is_running() &&
                 Clock::now() - ended[gateway] >= kRestartDelay) {
        gateway->Start();
      }
    }
    std::this_thread::sleep_for(Milliseconds(10));
  }
  callers.Stop();

  // Lost: on a kept connection, run by a sound worker, closed without an
  // answer.
  int lost = 0;
  for (const CallResult& result : callers.results()) {
    if (!result.on_kept_connection || result.response.end != End::kNoAnswer)
      continue;
    int runs_at_sound = 0;
    for (size_t i = 1; i < workers.size(); ++i)
      runs_at_sound += workers[i]->Runs(result.id);
    if (runs_at_sound == 0 || workers[0]->Runs(result.id) > 0)
      continue;
    ++lost;
    record.Add("lost: " + result.id + " " + result.kind);
  }
  const std::string why =
      std::to_string(lost) + " requests lost at sound workers, " +
      std::to_string(ends) + " processes ended by themselves";
  return Conclude(
      &record, lost > kAllowedLosses ? Verdict::kBroken : Verdict::kHeld, why);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return argc == 3 ? review::Run(argv[1], argv[2]) : 2;
}
