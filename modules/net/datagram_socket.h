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

/** A UDP socket. Datagrams that cannot be sent at once are dropped. Belongs to
    the event loop's thread. */
class DatagramSocket {
 public:
  using Receiver =
      std::function<void(Endpoint sender, absl::string_view bytes)>;

  DatagramSocket(boost::asio::io_context& loop, Receiver receiver);

  /** Binds and receives; kUnavailable when the address cannot be had. */
  Result<void> Open(Endpoint address);
  void Send(Endpoint to, absl::string_view bytes);
  /** The port in use. */
  uint16_t port() const { return port_; }

 private:
  void Receive();

  static constexpr size_t kMaxBytes = 2048;

  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint sender_;
  Receiver receiver_;
  std::array<char, kMaxBytes> bytes_;
  uint16_t port_ = 0;
};

}  // namespace chicory

#endif  // MODULES_NET_DATAGRAM_SOCKET_H_
