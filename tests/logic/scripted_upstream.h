#ifndef TESTS_LOGIC_SCRIPTED_UPSTREAM_H_
#define TESTS_LOGIC_SCRIPTED_UPSTREAM_H_

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "modules/net/http_message.h"
#include "modules/net/socket_options.h"

namespace chicory {

/** How an upstream ends its connection after its response. With kRepeat it
    repeats the end of the response without end instead. */
enum class Ending { kOpen, kClose, kReset, kRepeat };

/** Bytes at the end of a response that kRepeat repeats. */
constexpr size_t kRepeatedBytes = 8192;

/** An upstream that accepts one connection, reads whole requests and writes the
    bytes that are fixed for each, in turn. After the last ones it ends the
    connection. */
class ScriptedUpstream {
 public:
  ScriptedUpstream(boost::asio::io_context& loop,
                   std::string response,
                   Ending ending)
      : ScriptedUpstream(loop,
                         std::vector<std::string>{std::move(response)},
                         ending) {}

  ScriptedUpstream(boost::asio::io_context& loop,
                   std::vector<std::string> responses,
                   Ending ending)
      : acceptor_(loop, {boost::asio::ip::address_v4::loopback(), 0}),
        socket_(loop),
        responses_(std::move(responses)),
        ending_(ending) {
    acceptor_.async_accept(socket_,
                           [this](const boost::system::error_code& error) {
                             if (!error)
                               AwaitRequest();
                           });
  }

  Endpoint address() const {
    return {.ip = boost::asio::ip::address_v4::loopback().to_uint(),
            .port = acceptor_.local_endpoint().port()};
  }

 private:
  void AwaitRequest() {
    parser_.emplace(HttpRequestParser::Options{});
    Read();
  }

  void Read() {
    socket_.async_read_some(
        boost::asio::buffer(buffer_),
        [this](const boost::system::error_code& error, size_t count) {
          if (error)
            return;
          unparsed_.append(buffer_.data(), count);
          unparsed_.erase(0, parser_->Feed(unparsed_));
          if (parser_->state() == ParseState::kNeedMore)
            Read();
          else
            Respond();
        });
  }

  void Respond() {
    boost::asio::async_write(socket_, boost::asio::buffer(responses_[next_]),
                             [this](const boost::system::error_code&, size_t) {
                               if (++next_ < responses_.size())
                                 AwaitRequest();
                               else
                                 End();
                             });
  }

  void End() {
    if (ending_ == Ending::kOpen)
      return;
    if (ending_ == Ending::kRepeat) {
      Repeat();
      return;
    }
    if (ending_ == Ending::kReset)
      socket_.set_option(boost::asio::socket_base::linger(true, 0));
    socket_.close();
  }

  void Repeat() {
    const boost::asio::const_buffer end =
        boost::asio::buffer(responses_.back()) +
        (responses_.back().size() - kRepeatedBytes);
    boost::asio::async_write(
        socket_, end, [this](const boost::system::error_code& error, size_t) {
          if (!error)
            Repeat();
        });
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::socket socket_;
  const std::vector<std::string> responses_;
  size_t next_ = 0;
  const Ending ending_;
  std::optional<HttpRequestParser> parser_;
  std::string unparsed_;
  std::array<char, 4096> buffer_;
};

}  // namespace chicory

#endif  // TESTS_LOGIC_SCRIPTED_UPSTREAM_H_
