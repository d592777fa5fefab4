#include "modules/net/http_server.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace chicory {
namespace {

namespace asio = boost::asio;

/** Counts the requests that are handled, and responds to each with 200. */
class CountingDelegate : public HttpServer::Delegate {
 public:
  std::shared_ptr<HttpHandler> NewHandler() override {
    return std::make_shared<Handler>(&handled_);
  }
  HttpServer::Limits limits() const override {
    return {.parser = {.max_body_bytes = 1 << 20}};
  }
  int handled() const { return handled_; }

 private:
  class Handler : public HttpHandler {
   public:
    explicit Handler(int* handled) : handled_(handled) {}
    void Start(HttpRequest, ResponseWriter* writer) override {
      ++*handled_;
      writer->SendComplete(200, {}, "");
    }
    void OnCallerDisconnected() override {}

   private:
    int* handled_;
  };

  int handled_ = 0;
};

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
  /** Returns what the client has received once the server has closed. */
  std::string Received() {
    std::string bytes;
    boost::system::error_code error;
    asio::async_read(client, asio::dynamic_buffer(bytes),
                     [&](const boost::system::error_code& result, size_t) {
                       error = result;
                       loop.stop();
                     });
    RunFor(std::chrono::seconds(3));
    CHECK(error == asio::error::eof);
    return bytes.substr(0, bytes.find("\r\n"));
  }

  asio::io_context loop;
  CountingDelegate delegate;
  HttpServer server;
  asio::ip::tcp::socket client;
};

constexpr char kRequest[] = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr std::chrono::milliseconds kShortTime(50);

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
