#include <httplib.h>

#include <iostream>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "modules/serving/http_api_server.h"
#include "nlohmann/json.hpp"
#include "programs/program.h"
#include "stand_ins/memory_object_store.h"

namespace chicory {
namespace {

using Json = nlohmann::json;

SectionRule SettingsRule() {
  SectionRule rule{"settings", false, "Settings of the stand-in object API.",
                   CommonSettings()};
  rule.keys.push_back({"listen", ValueType::kText, "", false, "127.0.0.1:0", 1,
                       64, "", "Address to listen on, ip:port."});
  return rule;
}

int HttpStatusOf(ErrorCode code) {
  switch (code) {
    case ErrorCode::kNotFound:
      return 404;
    case ErrorCode::kConflict:
      return 409;
    case ErrorCode::kTimeout:
      return 304;
    case ErrorCode::kInvalid:
      return 413;
    case ErrorCode::kUnavailable:
    case ErrorCode::kOutcomeUnknown:
      return 503;
  }
  return 500;
}

/** Returns the query parameter `name`, or 0 if it is missing or malformed. */
uint64_t IntegerParam(const httplib::Request& request, const char* name) {
  uint64_t number = 0;
  if (!absl::SimpleAtoi(request.get_param_value(name), &number))
    return 0;
  return number;
}

/** Serves a MemoryObjectStore over HTTP, with routes that inject faults. */
class Server {
 public:
  explicit Server(const std::string& listen)
      : http_server_({.listen = listen, .max_body_bytes = 2 << 20}) {
    AddObjectRoutes();
    AddInstanceRoutes();
    AddControlRoutes();
  }

  Result<std::string> Start() { return http_server_.Start(); }

 private:
  using Request = httplib::Request;
  using Response = httplib::Response;

  /** Sends the result of a call to the store, after the injected delay. Breaks
      the connection if the response is to be lost. */
  template <class ResultType, class ToJson>
  void Respond(const ResultType& result, Response* response, ToJson&& to_json) {
    absl::SleepFor(store_.faults().delay);
    if (result.ok) {
      response->set_content(to_json(result.value).dump(), "application/json");
      return;
    }
    if (result.error.code == ErrorCode::kOutcomeUnknown) {
      ChunkedResponse lost_response;
      lost_response.Begin("application/json");
      lost_response.Abort();
      return;
    }
    response->status = HttpStatusOf(result.error.code);
    if (response->status != 304)
      response->set_content(result.error.message, "text/plain");
  }

  void AddObjectRoutes() {
    auto object_json = [](const StoredObject& object) {
      return Json{{"version", object.version}, {"value", object.value}};
    };
    httplib::Server& routes = http_server_.routes();
    routes.Get(
        "/objects/(.+)", [=, this](const Request& request, Response& response) {
          Respond(Capture([&] { return store_.Read(request.matches[1]); }),
                  &response, object_json);
        });
    routes.Put(
        "/objects/(.+)", [this](const Request& request, Response& response) {
          Respond(Capture([&] {
                    return store_.Write(request.matches[1], request.body,
                                        IntegerParam(request, "expected"));
                  }),
                  &response, [](uint64_t version) {
                    return Json{{"version", version}};
                  });
        });
    routes.Delete(
        "/objects/(.+)", [this](const Request& request, Response& response) {
          Respond(Capture([&] {
                    return store_.Remove(request.matches[1],
                                         IntegerParam(request, "expected"));
                  }),
                  &response, [](bool) { return Json::object(); });
        });
    routes.Get(
        "/watch/(.+)", [=, this](const Request& request, Response& response) {
          Respond(Capture([&] {
                    return store_.Watch(
                        request.matches[1], IntegerParam(request, "after"),
                        absl::Milliseconds(IntegerParam(request, "wait_ms")));
                  }),
                  &response, object_json);
        });
    routes.Get("/list/(.*)", [this](const Request& request,
                                    Response& response) {
      Respond(Capture([&] { return store_.List(request.matches[1]); }),
              &response,
              [](const std::vector<std::string>& keys) { return Json(keys); });
    });
  }

  void AddInstanceRoutes() {
    httplib::Server& routes = http_server_.routes();
    routes.Get("/instances", [this](const Request&, Response& response) {
      Respond(Capture([&] { return store_.Instances(); }), &response,
              [](const std::vector<InstanceRecord>& records) {
                Json list = Json::array();
                for (const InstanceRecord& record : records) {
                  list.push_back({{"name", record.name},
                                  {"role", record.role},
                                  {"pool", record.pool},
                                  {"address", record.address},
                                  {"data_centre", record.data_centre},
                                  {"models", record.models},
                                  {"leaving", record.leaving}});
                }
                return list;
              });
    });
    routes.Put(
        "/instances/(.+)", [this](const Request& request, Response& response) {
          const Json json = Json::parse(request.body, nullptr, false);
          if (!json.is_object()) {
            response.status = 400;
            return;
          }
          store_.PutInstance(
              {.name = request.matches[1],
               .role = json.value("role", "engine"),
               .pool = json.value("pool", ""),
               .address = json.value("address", ""),
               .data_centre = json.value("data_centre", ""),
               .models = json.value("models", std::vector<std::string>()),
               .leaving = json.value("leaving", false)});
        });
    routes.Delete("/instances/(.+)", [this](const Request& request, Response&) {
      store_.RemoveInstance(request.matches[1]);
    });
  }

  void AddControlRoutes() {
    httplib::Server& routes = http_server_.routes();
    routes.Post("/faults", [this](const Request& request, Response& response) {
      const Json json = Json::parse(request.body, nullptr, false);
      if (!json.is_object()) {
        response.status = 400;
        return;
      }
      store_.SetFaults(
          {.down = json.value("down", false),
           .lose_responses = json.value("lose_answers", 0),
           .stale_reads = json.value("stale_reads", false),
           .calls_per_second = json.value("calls_per_second", 0),
           .delay = absl::Milliseconds(json.value("delay_ms", 0))});
    });
    routes.Get("/calls", [this](const Request&, Response& response) {
      response.set_content(
          Json{{"reads", store_.reads()}, {"writes", store_.writes()}}.dump(),
          "application/json");
    });
  }

  MemoryObjectStore store_;
  HttpApiServer http_server_;
};

int Run(int argc, char** argv) {
  BlockStopSignals();
  int exit_code = 0;
  const auto settings = StartProgram(argc, argv, "stand_in_object_api",
                                     "Stands in for the platform's object API.",
                                     SettingsRule(), &exit_code);
  if (!settings)
    return exit_code;
  Server server(settings->text("listen"));
  const auto address = Capture([&] { return server.Start(); });
  if (!address.ok) {
    std::cerr << address.error.message << "\n";
    return static_cast<int>(ExitCode::kUnavailable);
  }
  PrintListening({{"object_api", address.value}});
  WaitForStopSignal();
  return 0;
}

}  // namespace
}  // namespace chicory

int main(int argc, char** argv) {
  return chicory::Run(argc, argv);
}
