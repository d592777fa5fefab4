#include "modules/routing/routing_table.h"

#include <algorithm>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"

namespace chicory {

namespace {

std::string NormalizeHost(absl::string_view host) {
  size_t colon = host.rfind(':');
  if (colon != absl::string_view::npos && host.find(']') == host.npos)
    host = host.substr(0, colon);
  return absl::AsciiStrToLower(host);
}

}  // namespace

RoutingTable::RoutingTable(Options options) : options_(std::move(options)) {
  for (size_t i = 0; i < options_.routes.size(); ++i)
    by_host_[NormalizeHost(options_.routes[i].host)].push_back(i);
  for (auto& [host, indexes] : by_host_) {
    std::stable_sort(indexes.begin(), indexes.end(),
                     [this](size_t a, size_t b) {
                       return options_.routes[a].path_prefix.size() >
                              options_.routes[b].path_prefix.size();
                     });
  }
  for (size_t i = 0; i < options_.services.size(); ++i)
    service_index_[options_.services[i].name] = i;
}

const RouteEntry* RoutingTable::Match(absl::string_view host,
                                      absl::string_view path) const {
  auto found = by_host_.find(NormalizeHost(host));
  if (found == by_host_.end())
    return nullptr;
  for (size_t index : found->second) {
    const RouteEntry& route = options_.routes[index];
    if (absl::StartsWith(path, route.path_prefix))
      return &route;
  }
  return nullptr;
}

const AccountEntry* RoutingTable::FindAccountByKey(
    absl::string_view key) const {
  auto found = options_.account_of_key.find(key);
  if (found == options_.account_of_key.end())
    return nullptr;
  return &options_.accounts[found->second];
}

const Service* RoutingTable::FindService(absl::string_view name) const {
  auto found = service_index_.find(name);
  return found == service_index_.end() ? nullptr
                                       : &options_.services[found->second];
}

const std::string& PickTarget(const RouteEntry& route, double point) {
  double total = 0;
  for (const RouteTarget& target : route.targets)
    total += target.weight;
  double remaining = point * total;
  for (const RouteTarget& target : route.targets) {
    remaining -= target.weight;
    if (remaining < 0 && target.weight > 0)
      return target.service;
  }
  return route.targets.back().service;
}

}  // namespace chicory
