#ifndef REVIEW_STAND_INS_CONFIGURATION_H_
#define REVIEW_STAND_INS_CONFIGURATION_H_

#include <string>

namespace review {

/** Returns the operator's configuration of a small deployment: streams of model
    workers under /walk/ and long ones under /ledger/, bookings that may run
   once under /book/, and lookups under /status/, all for the host
   `works.example` and the key `key-1`. */
inline std::string SmallConfiguration(int version) {
  const auto route = [](const std::string& name, const std::string& kind,
                        const std::string& service, int timeout_ms, int aim_ms,
                        int attempts, const std::string& more) {
    return "{\"name\":\"" + name + "\",\"host\":\"works.example\"," +
           "\"path-prefix\":\"/" + name + "/\",\"kind\":\"" + kind +
           "\",\"timeout-ms\":" + std::to_string(timeout_ms) +
           ",\"target-latency-ms\":" + std::to_string(aim_ms) +
           ",\"priority\":1,\"service\":\"" + service +
           "\",\"max-attempts\":" + std::to_string(attempts) +
           ",\"anonymous\":false" + more + "}";
  };
  const auto streaming = [](int gap_ms) {
    return ",\"session-affinity\":true,\"stream-resume\":true,"
           "\"gap-aim-ms\":" +
           std::to_string(gap_ms);
  };
  return "{\"version\":" + std::to_string(version) + ",\"routes\":[" +
         route("walk", "streaming", "stile-assistant", 10000, 300, 2,
               streaming(250)) +
         "," +
         route("ledger", "streaming", "stile-assistant", 15000, 3000, 2,
               streaming(1000)) +
         "," + route("book", "non_idempotent", "works-desk", 2000, 300, 1, "") +
         "," + route("status", "idempotent", "works-desk", 2000, 300, 2, "") +
         "],\"services\":[{\"name\":\"stile-assistant\","
         "\"health-path\":\"/health\",\"max-connections\":831,"
         "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":16,"
         "\"kv-capacity\":315000,\"stride\":51,\"step_ms\":0.85,"
         "\"per_seq_ms\":0.00425,\"context_per_k\":0.00285,"
         "\"read_per_s\":177000.0,\"pairs_per_m\":0.184,\"chunk\":2048,"
         "\"report_lag_ms\":200.0}},{\"name\":\"works-desk\","
         "\"health-path\":\"/health\",\"max-connections\":244,"
         "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
         "\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
         "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
         "\"tenants\":[{\"name\":\"walkers\",\"api-keys\":[\"key-1\"],"
         "\"priority\":1}]}";
}

}  // namespace review

#endif  // REVIEW_STAND_INS_CONFIGURATION_H_
