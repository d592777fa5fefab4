#include "modules/net/socket_options.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace chicory {

namespace {

constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;
constexpr int kUnacknowledgedMilliseconds = 2500;

void SetOption(int socket, int level, int name, int value) {
  ::setsockopt(socket, level, name, &value, sizeof(value));
}

}  // namespace

std::optional<Endpoint> ParseEndpoint(absl::string_view text) {
  size_t colon = text.rfind(':');
  if (colon == absl::string_view::npos)
    return std::nullopt;
  in_addr address;
  if (::inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(),
                  &address) != 1)
    return std::nullopt;
  uint32_t port = 0;
  if (!absl::SimpleAtoi(text.substr(colon + 1), &port) || port > 65535)
    return std::nullopt;
  return Endpoint{.ip = ntohl(address.s_addr),
                  .port = static_cast<uint16_t>(port)};
}

std::string IpText(uint32_t ip) {
  return absl::StrCat(ip >> 24, ".", (ip >> 16) & 255, ".", (ip >> 8) & 255,
                      ".", ip & 255);
}

std::string EndpointText(Endpoint endpoint) {
  return absl::StrCat(IpText(endpoint.ip), ":", endpoint.port);
}

void SetKeepAliveOptions(int socket) {
  SetOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

void SetLivenessOptions(int socket) {
  SetKeepAliveOptions(socket);
  SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, kUnacknowledgedMilliseconds);
}

}  // namespace chicory
