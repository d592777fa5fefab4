#ifndef MODULES_NET_SOCKET_OPTIONS_H_
#define MODULES_NET_SOCKET_OPTIONS_H_

#include <cstdint>
#include <optional>
#include <string>
#include "absl/strings/string_view.h"

namespace chicory {

/** An IPv4 address and a port, in host order. */
struct Endpoint {
  uint32_t ip = 0;
  uint16_t port = 0;

  friend bool operator==(const Endpoint& a, const Endpoint& b) {
    return a.ip == b.ip && a.port == b.port;
  }
};

/** Parses `ip:port`; nothing when it is no such text. */
std::optional<Endpoint> ParseEndpoint(absl::string_view text);

/** An IPv4 address in host order as text. */
std::string IpText(uint32_t ip);

/** `ip:port`. */
std::string EndpointText(Endpoint endpoint);

/** Makes a TCP connection notice a peer that has gone silent within about
    three seconds, and sends small writes at once. Errors are ignored: a socket
    without the options still works. */
void SetLivenessOptions(int socket);

/** The same without a bound on bytes that the peer is slow to take. */
void SetKeepAliveOptions(int socket);

}  // namespace chicory

#endif  // MODULES_NET_SOCKET_OPTIONS_H_
