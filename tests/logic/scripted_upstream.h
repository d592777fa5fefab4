#ifndef TESTS_LOGIC_SCRIPTED_UPSTREAM_H_
#define TESTS_LOGIC_SCRIPTED_UPSTREAM_H_

#include <array>
#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "modules/net/http_message.h"
#include "modules/net/socket_options.h"

namespace chicory {

/** How an upstream ends its connection after its response. */
enum class Ending {
  kOpen,
  kClose,
  kReset,
  /** Ends its own direction only and reads on. */
  kHalfClose,
  /** Repeats the end of the response without end. */
  kRepeat
};

/** When an upstream responds to its last request. */
enum class ResponseTime {
  kAfterRequest,
  /** Once the head has arrived; the body is not read. */
  kAfterHead,
  /** The same, but once the sockets' buffers are full of the body. Ends the
      connection once the response has been read. */
  kOnceBlocked
};

/** Bytes at the end of a response that kRepeat repeats. */
constexpr size_t kRepeatedBytes = 8192;
/** Bytes after which kRepeat closes the connection, many times what any reader
    of responses may keep. */
constexpr size_t kMaxRepeatedBytes = 256 << 20;

/** An upstream that accepts one connection, reads whole requests and writes the
    bytes that are fixed for each, in turn. After the last ones it ends the
    connection. */
class ScriptedUpstream {
 public:
  ScriptedUpstream(boost::asio::io_context& loop,
                   std::string response,
                   Ending ending,
                   ResponseTime response_time = ResponseTime::kAfterRequest)
      : ScriptedUpstream(loop,
                         std::vector<std::string>{std::move(response)},
                         ending,
                         response_time) {}

  ScriptedUpstream(boost::asio::io_context& loop,
                   std::vector<std::string> responses,
                   Ending ending,
                   ResponseTime response_time = ResponseTime::kAfterRequest)
      : acceptor_(loop, {boost::asio::ip::address_v4::loopback(), 0}),
        socket_(loop),
        timer_(loop),
        responses_(std::move(responses)),
        ending_(ending),
        response_time_(response_time) {
    acceptor_.async_accept(socket_,
                           [this](const boost::system::error_code& error) {
                             if (!error)
                               AwaitRequest();
                           });
  }

  /** Returns how many bytes kRepeat has sent. May be called from any thread. */
  size_t repeated_bytes() const { return repeated_bytes_; }

  Endpoint address() const {
    return {.ip = boost::asio::ip::address_v4::loopback().to_uint(),
            .port = acceptor_.local_endpoint().port()};
  }

 private:
  void AwaitRequest() {
    parser_.emplace(HttpRequestParser::Options{.max_body_bytes = 64 << 20});
    Read();
  }

  bool HasRequest() const {
    const bool is_early = response_time_ != ResponseTime::kAfterRequest &&
                          next_ + 1 == responses_.size();
    return parser_->state() != ParseState::kNeedMore ||
           (is_early && parser_->awaits_body());
  }

  /** Calls `step`, after a while if the caller is to be blocked first. */
  void RunInTime(void (ScriptedUpstream::*step)()) {
    if (response_time_ != ResponseTime::kOnceBlocked) {
      (this->*step)();
      return;
    }
    timer_.expires_after(std::chrono::milliseconds(50));
    timer_.async_wait([this, step](const boost::system::error_code& error) {
      if (!error)
        (this->*step)();
    });
  }

  void Read() {
    socket_.async_read_some(
        boost::asio::buffer(buffer_),
        [this](const boost::system::error_code& error, size_t count) {
          if (error)
            return;
          unparsed_.append(buffer_.data(), count);
          unparsed_.erase(0, parser_->Feed(unparsed_));
          if (HasRequest())
            RunInTime(&ScriptedUpstream::Respond);
          else
            Read();
        });
  }

  void Respond() {
    boost::asio::async_write(socket_, boost::asio::buffer(responses_[next_]),
                             [this](const boost::system::error_code&, size_t) {
                               if (++next_ < responses_.size())
                                 AwaitRequest();
                               else
                                 RunInTime(&ScriptedUpstream::End);
                             });
  }

  void End() {
    if (ending_ == Ending::kOpen)
      return;
    if (ending_ == Ending::kRepeat) {
      Repeat();
      return;
    }
    if (ending_ == Ending::kHalfClose) {
      socket_.shutdown(boost::asio::socket_base::shutdown_send);
      Drain();
      return;
    }
    if (ending_ == Ending::kReset)
      socket_.set_option(boost::asio::socket_base::linger(true, 0));
    socket_.close();
  }

  void Drain() {
    socket_.async_read_some(
        boost::asio::buffer(buffer_),
        [this](const boost::system::error_code& error, size_t) {
          if (!error)
            Drain();
        });
  }

  void Repeat() {
    repeated_bytes_ += kRepeatedBytes;
    if (repeated_bytes_ > kMaxRepeatedBytes) {
      socket_.close();
      return;
    }
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
  boost::asio::steady_timer timer_;
  const std::vector<std::string> responses_;
  size_t next_ = 0;
  const Ending ending_;
  const ResponseTime response_time_;
  std::atomic<size_t> repeated_bytes_{0};
  std::optional<HttpRequestParser> parser_;
  std::string unparsed_;
  std::array<char, 4096> buffer_;
};

}  // namespace chicory

#endif  // TESTS_LOGIC_SCRIPTED_UPSTREAM_H_
