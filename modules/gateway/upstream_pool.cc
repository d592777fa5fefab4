#include "modules/gateway/upstream_pool.h"

#include <algorithm>
#include <utility>

namespace chicory {

namespace {

/** Used when an upstream does not say how long it keeps connections. */
constexpr absl::Duration kDefaultIdle = absl::Seconds(2);
/** Upstreams round the time that they tell to whole seconds, and the request
    needs time to arrive. */
constexpr absl::Duration kIdleMargin = absl::Milliseconds(1200);
constexpr size_t kMaxIdlePerUpstream = 16;

}  // namespace

std::shared_ptr<HttpClientConnection> UpstreamPool::Acquire(
    UpstreamKey upstream,
    Endpoint address,
    bool fresh,
    absl::Time now) {
  std::deque<Idle>& idle = idle_[upstream];
  while (!fresh && !idle.empty()) {
    Idle last = std::move(idle.back());
    idle.pop_back();
    if (last.until > now && last.connection->IsReusable() &&
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
  const absl::Duration idle_for = keep_alive == absl::ZeroDuration()
                                      ? kDefaultIdle
                                      : keep_alive - kIdleMargin;
  std::deque<Idle>& idle = idle_[upstream];
  if (idle_for <= absl::ZeroDuration() || idle.size() >= kMaxIdlePerUpstream) {
    connection->Close();
    return;
  }
  connection->Detach();
  idle.push_back(
      {.connection = std::move(connection), .until = now + idle_for});
}

void UpstreamPool::Expire(absl::Time now) {
  for (auto& [upstream, idle] : idle_) {
    while (!idle.empty() && (idle.front().until <= now ||
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
