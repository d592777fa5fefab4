#include "modules/net/datagram_socket.h"

#include <boost/asio/buffer.hpp>
#include <utility>

#include "absl/cleanup/cleanup.h"
#include "absl/strings/str_cat.h"

namespace chicory {

namespace asio = boost::asio;

DatagramSocket::DatagramSocket(asio::io_context& loop, Receiver receiver)
    : socket_(loop), receiver_(std::move(receiver)) {}

Result<void> DatagramSocket::Open(Endpoint address) {
  const asio::ip::udp::endpoint endpoint(asio::ip::address_v4(address.ip),
                                         address.port);
  boost::system::error_code error;
  socket_.open(endpoint.protocol(), error);
  if (!error)
    socket_.bind(endpoint, error);
  if (!error)
    socket_.non_blocking(true, error);
  if (error) {
    return Fail(ErrorCode::kUnavailable,
                absl::StrCat("cannot open UDP socket on ",
                             EndpointText(address), ": ", error.message()));
  }
  port_ = socket_.local_endpoint(error).port();
  Receive();
  return {};
}

void DatagramSocket::Send(Endpoint to, absl::string_view bytes) {
  boost::system::error_code ignored;
  socket_.send_to(asio::buffer(bytes.data(), bytes.size()),
                  asio::ip::udp::endpoint(asio::ip::address_v4(to.ip), to.port),
                  0, ignored);
}

void DatagramSocket::Receive() {
  socket_.async_receive_from(
      asio::buffer(receive_buffer_), sender_,
      [this](const boost::system::error_code& error, size_t count) {
        if (error == asio::error::operation_aborted)
          return;
        // Also if the receiver throws.
        const absl::Cleanup receive_next = [this] { Receive(); };
        if (!error) {
          receiver_({.ip = sender_.address().to_v4().to_uint(),
                     .port = sender_.port()},
                    absl::string_view(receive_buffer_.data(), count));
        }
      });
}

}  // namespace chicory
