#ifndef MODULES_SERVING_HTTP_UPSTREAM_CLIENT_H_
#define MODULES_SERVING_HTTP_UPSTREAM_CLIENT_H_

#include <memory>
#include <string>
#include <vector>

#include "modules/serving/shared_memory_budget.h"
#include "modules/serving/upstream_client.h"

namespace chicory {

/** Implements the upstream protocol over HTTP, with streams as JSON lines.

    Idle connections are reused for a short time only, because the upstream may
    close one just as a request is sent on it. Incomplete responses to calls of
    plain services count against a memory budget; the call that it ends fails
    with AttemptOutcome::kFailed. Thread-safe. */
class HttpUpstreamClient : public UpstreamClient {
 public:
  /** `memory` must outlive this object; null if there is no bound. */
  explicit HttpUpstreamClient(SharedMemoryBudget* memory = nullptr);
  ~HttpUpstreamClient() override;

  UpstreamCallResult Stream(const StreamCall& call,
                            const EventSink& sink,
                            Interrupt* interrupt) override;
  UpstreamCallResult ReservePromptPart(const StreamCall& call,
                                       int64_t tokens,
                                       Interrupt* interrupt) override;
  Result<bool> IsPromptPartPrefilled(const std::string& address,
                                     const std::string& attempt) override;
  UpstreamCallResult Call(const ServiceCall& call,
                          ServiceResponse* service_response,
                          Interrupt* interrupt) override;
  Result<void> Cancel(const std::string& address,
                      const std::string& attempt) override;
  Result<LoadReport> Load(const std::string& address) override;
  Result<std::vector<CacheChange>> CacheChanges(const std::string& address,
                                                uint64_t sequence) override;
  Result<std::vector<std::string>> Attempts(
      const std::string& address) override;

 private:
  class ConnectionPool;
  SharedMemoryBudget* const memory_;
  std::unique_ptr<ConnectionPool> connection_pool_;
};

}  // namespace chicory

#endif  // MODULES_SERVING_HTTP_UPSTREAM_CLIENT_H_
