#include "modules/net/http_server.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace chicory {
namespace {

namespace asio = boost::asio;

/** Counts the requests that are handled, and responds to each with 200: to
    those for /stream with a stream that the test ends. */
class CountingDelegate : public HttpServer::Delegate {
 public:
  std::shared_ptr<HttpHandler> NewHandler() override {
    return std::make_shared<Handler>(this);
  }
  HttpServer::Limits limits() const override {
    return {.parser = {.max_body_bytes = 1 << 20}};
  }
  int handled() const { return handled_; }
  ResponseWriter* stream() { return stream_; }

 private:
  class Handler : public HttpHandler {
   public:
    explicit Handler(CountingDelegate* owner) : owner_(owner) {}
    void Start(HttpRequest request, ResponseWriter* writer) override {
      ++owner_->handled_;
      if (request.path() != "/stream") {
        writer->SendComplete(200, {}, "");
        return;
      }
      owner_->stream_ = writer;
      writer->BeginStream(200, {});
    }
    void OnCallerDisconnected() override {}

   private:
    CountingDelegate* owner_;
  };

  int handled_ = 0;
  ResponseWriter* stream_ = nullptr;
};

constexpr char kRequest[] = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr std::chrono::milliseconds kShortTime(50);
constexpr absl::Duration kIdleTime = absl::Milliseconds(30);

/** A server and one client connection that the kernel has completed. */
struct Fixture {
  Fixture() : server(loop, &delegate, 10), client(loop) {
    REQUIRE(Capture([&] {
              return server.Listen({.ip = 0x7f000001, .port = 0});
            }).ok);
    client.connect({asio::ip::address_v4::loopback(), server.port()});
  }

  void Send(const std::string& bytes) {
    asio::write(client, asio::buffer(bytes));
  }
  void RunFor(std::chrono::milliseconds time) {
    loop.restart();
    loop.run_for(time);
  }
  /** Returns the first line that the client has received once the server has
      closed. */
  std::string Received() {
    const std::string bytes = ReceivedBytes();
    return bytes.substr(0, bytes.find("\r\n"));
  }
  /** Returns all that the client has received once the server has closed. */
  std::string ReceivedBytes() {
    std::string bytes;
    boost::system::error_code error;
    asio::async_read(client, asio::dynamic_buffer(bytes),
                     [&](const boost::system::error_code& result, size_t) {
                       error = result;
                       loop.stop();
                     });
    RunFor(std::chrono::seconds(3));
    CHECK(error == asio::error::eof);
    return bytes;
  }
  /** Reads a stream whose head was sent before the drain to its end. */
  void DrainDuringStream() {
    Send("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n");
    RunFor(kShortTime);
    REQUIRE(delegate.stream());
    server.BeginDrain();
    delegate.stream()->EndStream();
    std::string bytes;
    asio::async_read_until(
        client, asio::dynamic_buffer(bytes), "\r\n0\r\n\r\n",
        [&](const boost::system::error_code&, size_t) { loop.stop(); });
    RunFor(std::chrono::seconds(3));
    REQUIRE(bytes.find("Connection: close") == std::string::npos);
  }

  asio::io_context loop;
  CountingDelegate delegate;
  HttpServer server;
  asio::ip::tcp::socket client;
};

// Guards against callers whose connection stood in the accept queue of a server
// that stops, and was reset with the listener.
TEST_CASE("connections that wait to be accepted are served after a stop") {
  Fixture f;
  f.Send(kRequest);
  f.server.BeginDrain();
  f.server.StopAccepting();
  CHECK(f.Received() == "HTTP/1.1 200 OK");
  CHECK(f.delegate.handled() == 1);
}

// Guards against requests that a draining server read and threw away, because
// the connection had been half-closed without an announcement.
TEST_CASE("a draining server answers the request after a stream") {
  struct Case {
    const char* name;
    std::vector<std::string> pieces;
  };
  const std::vector<Case> cases = {
      {"at once", {kRequest}},
      {"in slow chunks",
       {"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
        "1\r\nx\r\n", "1\r\ny\r\n", "0\r\n\r\n"}},
      {"in slow pieces",
       {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n", "x", "y"}},
      {"in the middle of the head", {"GET /a HT", "TP/1.1\r\nHost: h\r\n\r\n"}},
  };
  for (const Case& c : cases) {
    INFO(c.name);
    Fixture f;
    f.DrainDuringStream();
    for (const std::string& piece : c.pieces) {
      f.Send(piece);
      f.RunFor(kShortTime);
    }
    const std::string received = f.ReceivedBytes();
    CHECK(received.substr(0, received.find("\r\n")) == "HTTP/1.1 200 OK");
    CHECK(received.find("Connection: close") != std::string::npos);
    CHECK(f.delegate.handled() == 2);
  }
}

// Guards against requests that a stop found in the accept queue or in the
// kernel and closed before they were read, or read and not handled.
TEST_CASE(
    "a request that has arrived is answered before idle connections close") {
  struct Case {
    const char* name;
    bool is_accepted;
    bool has_stream;
  };
  const std::vector<Case> cases = {
      {"in the accept queue", false, false},
      {"on a new connection", true, false},
      {"after a stream", true, true},
  };
  for (const Case& c : cases) {
    INFO(c.name);
    Fixture f;
    if (c.has_stream)
      f.DrainDuringStream();
    else if (c.is_accepted)
      f.RunFor(kShortTime);
    f.Send(kRequest);
    f.server.BeginDrain();
    f.server.StopAccepting();
    f.server.CloseIdle(kIdleTime);
    CHECK(f.Received() == "HTTP/1.1 200 OK");
    CHECK(f.delegate.handled() == (c.has_stream ? 2 : 1));
  }
}

// Guards against connections that stay open during a drain, and against closing
// them while their caller prepares its next request.
TEST_CASE("a connection closes unread when it has been idle") {
  struct Case {
    const char* name;
    bool has_stream;
  };
  const std::vector<Case> cases = {{"a new one", false},
                                   {"after a stream", true}};
  for (const Case& c : cases) {
    INFO(c.name);
    Fixture f;
    if (c.has_stream)
      f.DrainDuringStream();
    f.RunFor(kShortTime);
    f.server.CloseIdle(absl::Seconds(5));
    CHECK(f.server.connections() == 1);
    f.server.CloseIdle(kIdleTime);
    CHECK(f.server.connections() == 0);
    f.Send(kRequest);
    f.RunFor(kShortTime);
    CHECK(f.delegate.handled() == (c.has_stream ? 1 : 0));
  }
}

TEST_CASE("a request received in part is refused at the end of a drain") {
  struct Case {
    const char* name;
    std::string bytes;
    std::string received;
  };
  const std::string unavailable = "HTTP/1.1 503 Service Unavailable";
  const std::vector<Case> cases = {
      {"a part of a head", "GET /a HTTP", unavailable},
      {"a part of a body",
       "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhal",
       unavailable},
  };
  for (const Case& c : cases) {
    INFO(c.name);
    Fixture f;
    f.Send(c.bytes);
    f.RunFor(kShortTime);
    f.server.RefusePartialRequests();
    // The refusal has promised that the request does not run.
    f.Send("f-done.");
    CHECK(f.Received() == c.received);
    CHECK(f.delegate.handled() == 0);
  }
}

}  // namespace
}  // namespace chicory
