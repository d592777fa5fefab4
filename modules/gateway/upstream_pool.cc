#include "modules/gateway/upstream_pool.h"

#include <algorithm>
#include <utility>

namespace chicory {

namespace {

/** Used if an upstream does not announce how long it keeps idle connections
    open. */
constexpr absl::Duration kDefaultIdleTimeout = absl::Seconds(2);
/** Subtracted from the announced time, which upstreams round to whole seconds,
    and which must also cover the request's way to the upstream. */
constexpr absl::Duration kIdleMargin = absl::Milliseconds(1200);
constexpr size_t kMaxIdlePerUpstream = 16;

}  // namespace

std::shared_ptr<HttpClientConnection> UpstreamPool::Acquire(
    UpstreamKey upstream,
    Endpoint address,
    bool require_new,
    absl::Time now) {
  std::deque<Idle>& idle = idle_[upstream];
  while (!require_new && !idle.empty()) {
    Idle last = std::move(idle.back());
    idle.pop_back();
    if (last.expires_at > now && last.connection->IsReusable() &&
        last.connection->peer() == address)
      return last.connection;
    last.connection->Close();
  }
  return std::make_shared<HttpClientConnection>(loop_, address);
}

void UpstreamPool::Release(UpstreamKey upstream,
                           std::shared_ptr<HttpClientConnection> connection,
                           absl::Duration keep_alive,
                           absl::Time now) {
  const absl::Duration idle_timeout = keep_alive == absl::ZeroDuration()
                                          ? kDefaultIdleTimeout
                                          : keep_alive - kIdleMargin;
  std::deque<Idle>& idle = idle_[upstream];
  if (idle_timeout <= absl::ZeroDuration() ||
      idle.size() >= kMaxIdlePerUpstream) {
    connection->Close();
    return;
  }
  connection->Detach();
  idle.push_back(
      {.connection = std::move(connection), .expires_at = now + idle_timeout});
}

void UpstreamPool::Expire(absl::Time now) {
  for (auto& [upstream, idle] : idle_) {
    while (!idle.empty() && (idle.front().expires_at <= now ||
                             !idle.front().connection->IsReusable())) {
      idle.front().connection->Close();
      idle.pop_front();
    }
  }
  absl::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

size_t UpstreamPool::idle() const {
  size_t count = 0;
  for (const auto& [upstream, idle] : idle_)
    count += idle.size();
  return count;
}

}  // namespace chicory
