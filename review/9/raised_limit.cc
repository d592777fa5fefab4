// The configuration raises the limit of a body; then callers send bodies that
// it allows on connections that they keep.
#include <thread>

#include "review/stand_ins_2/harness.h"

namespace review {
namespace {

constexpr int kCallers = 20;
constexpr double kApplyWithin = 2.0;
constexpr double kPatience = 1.0;
constexpr size_t kFormerLimit = 100 << 10;
constexpr size_t kLimit = 4 << 20;
constexpr size_t kBodyBytes = 300 << 10;
constexpr double kAnswerWithin = 5;
/** Of all requests, how many the rule allows to be refused. */
constexpr double kAllowed = 5;
constexpr double kAllowedShare = 1.0 / 500;

std::string Configuration(int version, size_t limit) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"orders","host":"a.example",
         "path-prefix":"/orders/","kind":"non_idempotent","timeout-ms":2000,
         "target-latency-ms":300,"service":"desk","max-attempts":1,
         "priority":2,"anonymous":true}],
         "services":[{"name":"desk","max-connections":244}],
         "limits":{"max-header-bytes":16384,"max-body-bytes":)" +
         std::to_string(limit) +
         R"(,"header-timeout-ms":5000,"idle-timeout-ms":30000}})";
}

std::string RequestWith(const std::string& id, size_t body_bytes) {
  return "POST /orders/a HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id +
         "\r\nDeadline-Ms: 4000\r\nContent-Length: " +
         std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes, 'x');
}

[[noreturn]] void Run(Case* run) {
  Record* const record = run->record();
  Store store;
  Worker worker({.id = "desk-1", .on_head = nullptr},
                [&](const std::string& id, const Message& request) {
                  record->Write(id + " runs " + request.Header("request-id"));
                });
  store.Put("servers", "desk-1", worker.Entry("desk", 24));
  // Without the change, the larger limit is in force from the start.
  store.Put("config", "main",
            Configuration(7, run->is_disrupted() ? kFormerLimit : kLimit));
  const std::string ip = "127.0.0.61";
  const int peers_port = FreePort(ip);
  Gateway gateway({.name = "front-1",
                   .ip = ip,
                   .peers_port = peers_port,
                   .store_port = store.port(),
                   .seeds = {ip + ":1"},
                   .folder = run->folder()});
  if (!gateway.WaitUntilReady(10))
    run->End(Outcome::kNotRun);
  SleepFor(4);

  std::vector<std::unique_ptr<Connection>> connections;
  for (int i = 0; i < kCallers; ++i) {
    connections.push_back(Connection::To(gateway.ip(), gateway.port()));
    Connection* const connection = connections.back().get();
    const std::string id = "small-" + std::to_string(i);
    if (!connection || !connection->Send(RequestWith(id, 1 << 10)))
      run->End(Outcome::kNotRun);
    const auto answer = connection->Read(kAnswerWithin);
    if (!answer || answer->status() != 200)
      run->End(Outcome::kNotRun);
    record->Write("answered 200: " + id + ", whose connection is kept");
  }
  if (run->is_disrupted()) {
    store.Put("config", "main", Configuration(8, kLimit));
    record->Write("version 8, with max-body-bytes " + std::to_string(kLimit) +
                  " in place of " + std::to_string(kFormerLimit) +
                  ", acknowledged");
  }
  SleepFor(kApplyWithin + kPatience);

  int refused = 0;
  for (int i = 0; i < kCallers; ++i) {
    const std::string id = "large-" + std::to_string(i);
    Connection* const connection = connections[i].get();
    connection->Send(RequestWith(id, kBodyBytes));
    const auto answer = connection->Read(kAnswerWithin);
    const int status = answer ? answer->status() : 0;
    refused += status >= 300 && status < 500 && status != 408 &&
                       status != 421 && status != 429
                   ? 1
                   : 0;
    record->Write("sent " + id + " with a body of " +
                  std::to_string(kBodyBytes) + " bytes: answered " +
                  std::to_string(status));
  }
  const double allowed = kAllowed + 2 * kCallers * kAllowedShare;
  record->Write("refused " + std::to_string(refused) + " of " +
                std::to_string(2 * kCallers) + " requests, allowed " +
                std::to_string(allowed));
  // The same body on a connection that is opened now.
  const auto fresh = Connection::To(gateway.ip(), gateway.port());
  if (fresh && fresh->Send(RequestWith("fresh", kBodyBytes))) {
    const auto answer = fresh->Read(kAnswerWithin);
    record->Write("the same on a new connection: answered " +
                  std::to_string(answer ? answer->status() : 0));
  }
  run->End(refused > allowed ? Outcome::kBroken : Outcome::kHeld);
}

}  // namespace
}  // namespace review

int main() {
  review::Case run;
  review::Run(&run);
}
