#include <httplib.h>
#include <unistd.h>

#include <atomic>
#include <iostream>
#include <map>

#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "modules/serving/http_api_server.h"
#include "nlohmann/json.hpp"
#include "programs/program.h"

namespace chicory {
namespace {

using Json = nlohmann::json;

/** Exit status of a service that was told to die. */
constexpr int kDiedOnCommand = 66;

SectionRule SettingsRule() {
  SectionRule rule{"settings", false, "Settings of the plain service.",
                   CommonSettings()};
  rule.keys.push_back({"listen", ValueType::kText, "", false, "127.0.0.1:0", 1,
                       64, "", "Address, ip:port."});
  return rule;
}

/** A booking desk that counts each execution by key. */
class Desk {
 public:
  explicit Desk(const std::string& listen) : front_({.listen = listen}) {
    using Request = httplib::Request;
    using Response = httplib::Response;
    httplib::Server& routes = front_.routes();
    routes.Get("/executions", [this](const Request&, Response& response) {
      absl::MutexLock lock(&mutex_);
      response.set_content(Json(executions_).dump(), "application/json");
    });
    routes.Post("/faults", [this](const Request& request, Response&) {
      const Json json = Json::parse(request.body, nullptr, false);
      slow_ms_ = json.value("slow_ms", 0);
      die_after_run_ = json.value("die_after_run", false);
      die_before_run_ = json.value("die_before_run", false);
    });
    auto execute = [this](const Request& request, Response& response) {
      Execute(request, &response);
    };
    routes.Get("/.*", execute);
    routes.Post("/.*", execute);
    routes.Put("/.*", execute);
    routes.Delete("/.*", execute);
  }

  Result<std::string> Start() { return front_.Start(); }

 private:
  void Execute(const httplib::Request& request, httplib::Response* response) {
    if (die_before_run_)
      ::_exit(kDiedOnCommand);
    const std::string key = request.get_header_value("Idempotency-Key");
    int count = 0;
    {
      absl::MutexLock lock(&mutex_);
      count = ++executions_[key.empty() ? request.path : key];
    }
    if (die_after_run_)
      ::_exit(kDiedOnCommand);
    absl::SleepFor(absl::Milliseconds(slow_ms_.load()));
    response->set_content(Json{{"path", request.path},
                               {"key", key},
                               {"execution", count},
                               {"received", request.body}}
                              .dump(),
                          "application/json");
  }

  absl::Mutex mutex_;
  std::map<std::string, int> executions_ ABSL_GUARDED_BY(mutex_);
  std::atomic<int> slow_ms_{0};
  std::atomic<bool> die_after_run_{false};
  std::atomic<bool> die_before_run_{false};
  HttpApiServer front_;
};

int Run(int argc, char** argv) {
  BlockStopSignals();
  int exit_code = 0;
  const auto settings =
      StartProgram(argc, argv, "stand_in_service",
                   "Stands in for a plain service, such as a booking desk.",
                   SettingsRule(), &exit_code);
  if (!settings)
    return exit_code;
  Desk desk(settings->text("listen"));
  const auto address = Capture([&] { return desk.Start(); });
  if (!address.ok) {
    std::cerr << address.error.message << "\n";
    return static_cast<int>(ExitCode::kUnavailable);
  }
  PrintListening({{"service", address.value}});
  WaitForStopSignal();
  return 0;
}

}  // namespace
}  // namespace chicory

int main(int argc, char** argv) {
  return chicory::Run(argc, argv);
}
