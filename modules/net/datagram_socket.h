#ifndef MODULES_NET_DATAGRAM_SOCKET_H_
#define MODULES_NET_DATAGRAM_SOCKET_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include "absl/strings/string_view.h"

#include "modules/core/error.h"
#include "modules/net/socket_options.h"

namespace chicory {

/** A UDP socket for IPv4. Datagrams that cannot be sent without blocking are
    dropped.

    Must only be used on the event loop's thread. */
class DatagramSocket {
 public:
  /** Called on the event loop for each datagram received; `bytes` is only valid
      during the call. */
  using Receiver =
      std::function<void(Endpoint sender, absl::string_view bytes)>;

  DatagramSocket(boost::asio::io_context& loop, Receiver receiver);

  /** Binds the socket to `address` and starts receiving. Fails with
      kUnavailable if the address cannot be bound. */
  Result<void> Open(Endpoint address);
  /** Sends a datagram; errors are ignored. */
  void Send(Endpoint to, absl::string_view bytes);
  /** Returns the local port. If Open() was given port 0, the system has chosen
      it. */
  uint16_t port() const { return port_; }

 private:
  void Receive();

  /** Longer datagrams are truncated. */
  static constexpr size_t kReceiveBufferBytes = 2048;

  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint sender_;
  Receiver receiver_;
  std::array<char, kReceiveBufferBytes> receive_buffer_;
  uint16_t port_ = 0;
};

}  // namespace chicory

#endif  // MODULES_NET_DATAGRAM_SOCKET_H_
