#ifndef MODULES_NET_SOCKET_OPTIONS_H_
#define MODULES_NET_SOCKET_OPTIONS_H_

#include <cstdint>
#include <optional>
#include <string>
#include "absl/strings/string_view.h"

namespace chicory {

/** An IPv4 address and port, both in host byte order. */
struct Endpoint {
  uint32_t ip = 0;
  uint16_t port = 0;

  friend bool operator==(const Endpoint& a, const Endpoint& b) {
    return a.ip == b.ip && a.port == b.port;
  }
};

/** Parses an endpoint of the form `ip:port`. Returns nullopt if the text is
    malformed. */
std::optional<Endpoint> ParseEndpoint(absl::string_view text);

/** Formats an IPv4 address in host byte order. */
std::string IpText(uint32_t ip);

/** Formats an endpoint as `ip:port`. */
std::string EndpointText(Endpoint endpoint);

/** Sets the options of SetKeepAliveOptions() and also limits how long sent
    bytes may remain unacknowledged, so that an unresponsive peer is detected
    within about three seconds even while data is being sent. */
void SetLivenessOptions(int socket);

/** Enables TCP keep-alive probes, which detect an unresponsive peer of an idle
    connection within about three seconds, and disables Nagle's algorithm, so
    that small writes are sent immediately. Places no limit on how long the peer
    may take to read what was sent. Errors are ignored: the socket works without
    the options. */
void SetKeepAliveOptions(int socket);

}  // namespace chicory

#endif  // MODULES_NET_SOCKET_OPTIONS_H_
