#include "programs/gateway/gateway_settings.h"

#include <algorithm>

namespace chicory {

namespace {

/** Descriptors reserved for files, the store, peers and the listeners for
    readiness checks, operators and metrics. */
constexpr int64_t kReservedDescriptors = 300;

/** Parses addresses of a checked row and reports those that are invalid as
    findings. */
class EndpointReader {
 public:
  EndpointReader(const CheckedRow& row, std::string file, Findings* findings)
      : row_(row), file_(std::move(file)), findings_(findings) {}

  Endpoint Read(const char* key) {
    const auto endpoint = ParseEndpoint(row_.text(key));
    if (!endpoint)
      Report(key, row_.text(key));
    return endpoint.value_or(Endpoint{});
  }

  /** Like Read, but returns an empty endpoint if the key is not set. */
  Endpoint ReadOptional(const char* key) {
    return row_.text(key).empty() ? Endpoint{} : Read(key);
  }

  std::vector<InstanceIp> ReadList(const char* key) {
    std::vector<InstanceIp> ips;
    for (const std::string& text : row_.text_list(key)) {
      if (const auto endpoint = ParseEndpoint(text))
        ips.push_back(endpoint->ip);
      else
        Report(key, text);
    }
    return ips;
  }

 private:
  void Report(const char* key, const std::string& text) {
    const CheckedRow::Location location = row_.location(key);
    findings_->Add({.file = file_,
                    .line = location.line,
                    .column = location.column,
                    .path = std::string("settings.") + key,
                    .code = "bad-address",
                    .problem = "`" + text + "` is not an address",
                    .expected = "ip:port"});
  }

  const CheckedRow& row_;
  const std::string file_;
  Findings* findings_;
};

}  // namespace

SectionRule GatewaySettingsRule() {
  using Type = ValueType;
  SectionRule rule{"settings", false, "Settings of a gateway.", {}};
  rule.keys = {
      {"instance", Type::kText, "", true, "", 1, 128, "",
       "Name of the instance."},
      {"data_centre", Type::kText, "", true, "", 1, 128, "",
       "Data centre of the instance."},
      {"callers_listen", Type::kText, "", true, "", 1, 64, "",
       "Address for callers' requests, ip:port."},
      {"ready_listen", Type::kText, "", true, "", 1, 64, "",
       "Address for the balancer's readiness checks."},
      {"operators_listen", Type::kText, "", true, "", 1, 64, "",
       "Address for operators; serves /metrics."},
      {"metrics_listen", Type::kText, "", false, "", 0, 64, "",
       "Additional address that serves /metrics."},
      {"peers_listen", Type::kText, "", true, "", 1, 64, "",
       "Address for datagrams of other instances; all use the same port."},
      {"seeds", Type::kTextList, "", false, "", 0, 64, "",
       "Instances to contact first, each ip:port; the port is ignored."},
      {"store", Type::kText, "", true, "", 1, 64, "",
       "Address of the platform's store."},
      {"max_descriptors", Type::kInteger, "descriptors", false, "1024", 400,
       1048576, "", "Maximum number of file descriptors of the process."},
      {"apply_within", Type::kDuration, "", false, "2s", 0.1, 3600, "",
       "Maximum time until a changed configuration is in force."},
      {"drain_within", Type::kDuration, "", false, "2s", 0.1, 3600, "",
       "Maximum time for which a draining upstream still receives requests."},
      {"stop_within", Type::kDuration, "", false, "8s", 1, 3600, "",
       "Maximum time from a stop signal to the end of the process."},
      {"retry_ratio", Type::kNumber, "", false, "0.2", 0, 10, "",
       "Retries of all instances, as a fraction of the requests."},
      {"retry_slack", Type::kNumber, "sends", false, "100", 0, 1000000, "",
       "Retries of all instances allowed beyond that fraction."},
      {"retry_window", Type::kDuration, "", false, "10s", 1, 3600, "",
       "Window in which retries are counted."},
      {"log_detail", Type::kBoolean, "", false, "true", 0, 0, "",
       "Whether each step of each request is logged."},
      {"log_level", Type::kText, "", false, "info", 1, 16,
       "debug|info|warn|error",
       "Minimum severity of the messages logged at the start."},
  };
  return rule;
}

std::optional<GatewaySettings> ReadGatewaySettings(const CheckedRow& row,
                                                   const std::string& file,
                                                   Findings* findings) {
  EndpointReader reader(row, file, findings);
  GatewaySettings settings{
      .gateway = {.callers = reader.Read("callers_listen"),
                  .ready = reader.Read("ready_listen"),
                  .operators = reader.Read("operators_listen"),
                  .metrics = reader.ReadOptional("metrics_listen"),
                  .peers = reader.Read("peers_listen"),
                  .seeds = reader.ReadList("seeds"),
                  .retries = {.ratio = row.number("retry_ratio"),
                              .slack = row.number("retry_slack"),
                              .window = row.duration("retry_window")},
                  .stop_within = row.duration("stop_within"),
                  .instance = row.text("instance")},
      .store = reader.Read("store"),
      .data_centre = row.text("data_centre"),
      .apply_within = row.duration("apply_within"),
      .drain_within = row.duration("drain_within"),
      .log_detail = row.boolean("log_detail")};
  // Each caller's connection may need another one to an upstream.
  settings.gateway.max_connections = static_cast<size_t>(std::max<int64_t>(
      (row.integer("max_descriptors") - kReservedDescriptors) / 2, 50));
  if (!findings->empty())
    return std::nullopt;
  return settings;
}

}  // namespace chicory
