#include "modules/gateway/upstream_exchange.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "platform/header_codec.h"

namespace chicory {
namespace {

namespace asio = boost::asio;

/** How an upstream ends its connection after its response. With kRepeat it
    repeats the end of the response without end instead. */
enum class Ending { kOpen, kClose, kReset, kRepeat };

/** Bytes at the end of a response that kRepeat repeats. */
constexpr size_t kRepeatedBytes = 8192;

/** An upstream that accepts one connection, reads a request, writes fixed bytes
    and then ends the connection. */
class ScriptedUpstream {
 public:
  ScriptedUpstream(asio::io_context& loop, std::string response, Ending ending)
      : acceptor_(loop, {asio::ip::address_v4::loopback(), 0}),
        socket_(loop),
        response_(std::move(response)),
        ending_(ending) {
    acceptor_.async_accept(socket_,
                           [this](const boost::system::error_code& error) {
                             if (!error)
                               AwaitRequest();
                           });
  }

  Endpoint address() const {
    return {.ip = asio::ip::address_v4::loopback().to_uint(),
            .port = acceptor_.local_endpoint().port()};
  }

 private:
  void AwaitRequest() {
    socket_.async_read_some(
        asio::buffer(request_),
        [this](const boost::system::error_code&, size_t) { Respond(); });
  }

  void Respond() {
    asio::async_write(
        socket_, asio::buffer(response_),
        [this](const boost::system::error_code&, size_t) { End(); });
  }

  void End() {
    if (ending_ == Ending::kOpen)
      return;
    if (ending_ == Ending::kRepeat) {
      Repeat();
      return;
    }
    if (ending_ == Ending::kReset)
      socket_.set_option(asio::socket_base::linger(true, 0));
    socket_.close();
  }

  void Repeat() {
    const asio::const_buffer end =
        asio::buffer(response_) + (response_.size() - kRepeatedBytes);
    asio::async_write(socket_, end,
                      [this](const boost::system::error_code& error, size_t) {
                        if (!error)
                          Repeat();
                      });
  }

  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::socket socket_;
  const std::string response_;
  const Ending ending_;
  std::array<char, 4096> request_;
};

/** Records what an exchange reports. */
class Recorder : public UpstreamExchange::Listener {
 public:
  void OnEvents(const HttpResponseHead&, const std::string& events) override {
    body += events;
  }
  void OnStreamComplete(const HttpResponseHead&) override {
    outcome = "complete";
  }
  void OnCompleteResponse(const HttpResponseHead&,
                          std::string response) override {
    body = std::move(response);
    outcome = "complete";
  }
  void OnExchangeFailed(const UpstreamExchange::Failure& failure) override {
    outcome = failure.reason;
    result = failure.result;
  }

  std::string body;
  /** "complete" or the reason of the failure; empty while it runs. */
  std::string outcome;
  AttemptResult result = AttemptResult::kDone;
};

struct Case {
  const char* name;
  std::string framing_and_body;
  Ending ending;
  std::string outcome;
  std::string body;
};

std::string Chunk(const std::string& bytes) {
  std::string size(1, "0123456789abcdef"[bytes.size() / 16]);
  size += "0123456789abcdef"[bytes.size() % 16];
  return size + "\r\n" + bytes + "\r\n";
}

/** Runs one exchange with an upstream that responds as `c` says. */
Recorder RunExchange(const Case& c, bool expects_stream) {
  asio::io_context loop;
  ScriptedUpstream upstream(loop,
                            "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
                            "Response-Stamp: s1\r\n" +
                                c.framing_and_body,
                            c.ending);
  const HeaderCodec codec;
  UpstreamPool pool(loop);
  const UpstreamDirectory directory;
  EventStreamSplitter events;
  Recorder recorder;
  const auto exchange = std::make_shared<UpstreamExchange>(
      UpstreamExchange::Options{.upstream = 1,
                                .address = upstream.address(),
                                .request_id = "r1",
                                .expects_stream = expects_stream},
      UpstreamExchange::Shared{
          .codec = codec, .pool = pool, .directory = directory},
      &events, &recorder);
  exchange->Send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  const auto give_up =
      std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (recorder.outcome.empty() && std::chrono::steady_clock::now() < give_up)
    loop.run_one_for(std::chrono::milliseconds(100));
  return recorder;
}

// Guards against a stream that broke off but reached its caller as complete:
// the end of a connection inside an event was taken for the end of the stream.
TEST_CASE("a stream is complete only if it ends after an event") {
  const std::string first = "id: 0\ndata: a\n\n";
  const std::string second = "id: 1\ndata: b\n\n";
  const std::string part = "id: 1\ndata: b";
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const std::vector<Case> cases = {
      {"chunked", chunked + Chunk(first) + Chunk(second) + "0\r\n\r\n",
       Ending::kOpen, "complete", first + second},
      {"chunked, cut between chunks", chunked + Chunk(first), Ending::kClose,
       "connection_broken", first},
      {"chunked, the last event is incomplete",
       chunked + Chunk(first) + Chunk(part) + "0\r\n\r\n", Ending::kOpen,
       "stream_truncated", first},
      {"with a length", "Content-Length: 15\r\n\r\n" + first, Ending::kOpen,
       "complete", first},
      {"with a length, the last event is incomplete",
       "Content-Length: 13\r\n\r\n" + part, Ending::kOpen, "stream_truncated",
       ""},
      {"no length, closed after an event", "\r\n" + first + second,
       Ending::kClose, "complete", first + second},
      {"no length, closed inside an event", "\r\n" + first + part,
       Ending::kClose, "stream_truncated", first},
      {"no length, closed before the blank line of an event",
       "\r\n" + first + part + "\n", Ending::kClose, "stream_truncated", first},
      {"no length, closed inside the first event", "\r\n" + part,
       Ending::kClose, "stream_truncated", ""},
      {"no length, closed before the first event", "\r\n", Ending::kClose,
       "stream_truncated", ""},
      {"no length, reset after an event", "\r\n" + first, Ending::kReset,
       "connection_broken", first},
  };
  for (const Case& c : cases) {
    INFO(c.name);
    const Recorder recorder = RunExchange(c, /*expects_stream=*/true);
    CHECK(recorder.outcome == c.outcome);
    CHECK(recorder.body == c.body);
  }
}

TEST_CASE("a plain response without a length is complete unless it is reset") {
  const std::vector<Case> cases = {
      {"closed", "\r\nhello", Ending::kClose, "complete", "hello"},
      {"reset", "\r\nhello", Ending::kReset, "connection_broken", ""},
      {"closed before its length", "Content-Length: 9\r\n\r\nhello",
       Ending::kClose, "connection_broken", ""},
  };
  for (const Case& c : cases) {
    INFO(c.name);
    const Recorder recorder = RunExchange(c, /*expects_stream=*/false);
    CHECK(recorder.outcome == c.outcome);
    CHECK(recorder.body == c.body);
  }
}

/** Returns `unit`, whose length divides kRepeatedBytes, over and over. */
std::string Filler(const std::string& unit) {
  std::string bytes;
  while (bytes.size() < kRepeatedBytes)
    bytes += unit;
  return bytes;
}

// Guards against an upstream in trouble whose bytes never end: they were kept
// until the memory or the time of the request was used up.
TEST_CASE("a response without end is given up") {
  struct EndlessCase {
    const char* name;
    bool expects_stream;
    std::string framing_and_body;
    std::string outcome;
  };
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const std::vector<EndlessCase> cases = {
      {"head", false, Filler("X-A: aaaaaaaaa\r\n"), "connection_broken"},
      {"one field", false, "X-A: " + Filler("a"), "connection_broken"},
      {"size of a chunk", false, chunked + "1;" + Filler("a"),
       "connection_broken"},
      {"body", false, "\r\n" + Filler("a"), "response_too_large"},
      {"chunks", false, chunked + Filler("b\r\naaaaaaaaaaa\r\n"),
       "response_too_large"},
      {"line of an event", true, "\r\ndata: " + Filler("a"),
       "response_too_large"},
      {"lines of an event", true, "\r\n" + Filler("data: a\n"),
       "response_too_large"},
  };
  for (const EndlessCase& c : cases) {
    INFO(c.name);
    const Recorder recorder = RunExchange(
        {.framing_and_body = c.framing_and_body, .ending = Ending::kRepeat},
        c.expects_stream);
    CHECK(recorder.outcome == c.outcome);
    CHECK(recorder.body.empty());
  }
}

TEST_CASE("interim responses without end are given up") {
  HttpResponseParser parser(/*head_only=*/false);
  for (int i = 0; i < 1000 && parser.state() == ParseState::kNeedMore; ++i)
    parser.Feed("HTTP/1.1 100 Continue\r\n\r\n");
  CHECK(parser.state() == ParseState::kMalformed);
}

}  // namespace
}  // namespace chicory
