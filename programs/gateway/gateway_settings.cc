#include "programs/gateway/gateway_settings.h"

#include <algorithm>

namespace chicory {

namespace {

/** Descriptors reserved for files, the store, peers and the listeners for
    readiness checks, operators and metrics. */
constexpr int64_t kReservedDescriptors = 300;
constexpr size_t kBytesPerMegabyte = 1 << 20;

/** Parses addresses and regions of a checked row and reports those that are
    invalid as findings. */
class SettingsReader {
 public:
  SettingsReader(const CheckedRow& row, std::string file, Findings* findings)
      : row_(row), file_(std::move(file)), findings_(findings) {}

  Endpoint Read(const char* key) {
    const auto endpoint = ParseEndpoint(row_.text(key));
    if (!endpoint)
      ReportAddress(key, row_.text(key));
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
        ReportAddress(key, text);
    }
    return ips;
  }

  /** Reads entries of the form DATA_CENTRE=REGION. */
  std::map<std::string, std::string> ReadRegions(const char* key) {
    std::map<std::string, std::string> regions;
    for (const std::string& text : row_.text_list(key)) {
      const size_t sign = text.find('=');
      if (sign != std::string::npos && sign > 0)
        regions[text.substr(0, sign)] = text.substr(sign + 1);
      else
        Report(key, "bad-region", "`" + text + "` names no region",
               "DATA_CENTRE=REGION");
    }
    return regions;
  }

 private:
  void ReportAddress(const char* key, const std::string& text) {
    Report(key, "bad-address", "`" + text + "` is not an address", "ip:port");
  }
  void Report(const char* key,
              const std::string& code,
              const std::string& problem,
              const std::string& expected) {
    const CheckedRow::Location location = row_.location(key);
    findings_->Add({.file = file_,
                    .line = location.line,
                    .column = location.column,
                    .path = std::string("settings.") + key,
                    .code = code,
                    .problem = problem,
                    .expected = expected});
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
      {"region", Type::kText, "", false, "", 0, 128, "",
       "Region of the instance."},
      {"data_centres", Type::kTextList, "", false, "", 0, 1024, "",
       "All data centres with their regions, each DATA_CENTRE=REGION."},
      {"memory_mb", Type::kInteger, "MB", false, "0", 0, 16777216, "",
       "Memory that the process may use; three eighths of it are for bodies "
       "and responses that are incomplete, queued or not read. 0 if it is "
       "unknown, which counts as 112."},
      {"evacuate_within", Type::kDuration, "", false, "0s", 0, 3600, "",
       "Maximum time for which upstreams of an evacuated data centre still get "
       "requests; 0 if data centres are not evacuated."},
      {"cold_excess", Type::kNumber, "", false, "1", 1, 1000, "",
       "Requests per second that a cold upstream gets at most, as a multiple "
       "of "
       "its service's rate for cold upstreams."},
      {"cold_slack", Type::kNumber, "requests", false, "1", 0, 1000000, "",
       "Requests in any second that a cold upstream may get beyond that."},
      {"admission_control", Type::kBoolean, "", false, "false", 0, 0, "",
       "Whether requests that cannot be served in time are refused at once, "
       "and "
       "accounts share room fairly."},
      {"prompt_keeping_services", Type::kTextList, "", false, "", 0, 1024, "",
       "Services whose upstreams keep the beginnings of prompts."},
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
  SettingsReader reader(row, file, findings);
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
                  .instance = row.text("instance"),
                  .region = row.text("region"),
                  .regions = reader.ReadRegions("data_centres"),
                  .memory_bytes =
                      static_cast<size_t>(row.integer("memory_mb")) *
                      kBytesPerMegabyte,
                  .evacuate_within = row.duration("evacuate_within"),
                  .cold_excess = row.number("cold_excess"),
                  .cold_slack = row.number("cold_slack"),
                  .admission_control = row.boolean("admission_control"),
                  .prompt_keeping_services =
                      row.text_list("prompt_keeping_services")},
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
