#include "modules/net/run_loop.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "modules/net/datagram_socket.h"
#include "modules/net/http_client.h"
#include "modules/net/http_server.h"
#include "modules/net/loop_time.h"
#include "tests/logic/scripted_upstream.h"

namespace chicory {
namespace {

constexpr Endpoint kLoopback = {.ip = 0x7f000001, .port = 0};

/** Throws at the path /throw and responds with 200 to all others. */
class ThrowingHandler : public HttpHandler {
 public:
  void Start(HttpRequest request, ResponseWriter* writer) override {
    if (request.path() == "/throw")
      throw std::runtime_error("handler");
    writer->SendComplete(200, {}, "");
  }
  void OnCallerDisconnected() override {}
};

class ThrowingDelegate : public HttpServer::Delegate {
 public:
  std::shared_ptr<HttpHandler> NewHandler() override {
    return std::make_shared<ThrowingHandler>();
  }
  HttpServer::Limits limits() const override { return {}; }
};

/** Throws at each part of a response and records the end. */
class ThrowingListener : public HttpClientConnection::Listener {
 public:
  void OnResponse(HttpResponseParser&) override {
    throw std::runtime_error("listener");
  }
  void OnFailure(HttpClientConnection::Failure) override { failed = true; }

  bool failed = false;
};

/** Runs `loop` until it is stopped and returns the texts of the exceptions. */
std::vector<std::string> Run(boost::asio::io_context& loop) {
  std::vector<std::string> errors;
  RunLoop(loop, [&](const std::exception& error) {
    errors.emplace_back(error.what());
  });
  return errors;
}

// Guards against an unexpected error at one connection that ended the process,
// and with it all that the process served.
TEST_CASE("a handler that throws ends only its connection") {
  boost::asio::io_context loop;
  ThrowingDelegate delegate;
  HttpServer server(loop, &delegate, 10);
  REQUIRE(Capture([&] { return server.Listen(kLoopback); }).ok);
  const Endpoint address = {.ip = kLoopback.ip, .port = server.port()};
  HttpClient first(loop, address);
  HttpClient second(loop, address);
  std::vector<int> statuses;
  const absl::Time begin = SteadyNow();
  absl::Duration took;
  first.Call({.target = "/throw", .timeout = absl::Seconds(5)},
             [&](const HttpCallResult& refused) {
               took = SteadyNow() - begin;
               statuses.push_back(refused.status);
               second.Call({.target = "/ok"},
                           [&](const HttpCallResult& result) {
                             statuses.push_back(result.status);
                             loop.stop();
                           });
             });
  CHECK(Run(loop) == std::vector<std::string>{"handler"});
  CHECK(statuses == std::vector<int>{0, 200});
  // Closed by the server, not given up by the client.
  CHECK(took < absl::Seconds(2));
  CHECK(server.connections() == 1);
}

TEST_CASE("a listener that throws is told that its exchange failed") {
  boost::asio::io_context loop;
  ScriptedUpstream upstream(
      loop, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", Ending::kOpen);
  ThrowingListener listener;
  const auto connection =
      std::make_shared<HttpClientConnection>(loop, upstream.address());
  connection->Exchange("GET /a HTTP/1.1\r\nHost: h\r\n\r\n", false, &listener);
  CHECK(Run(loop) == std::vector<std::string>{"listener"});
  CHECK(listener.failed);
  CHECK_FALSE(connection->IsReusable());
}

TEST_CASE("a receiver that throws receives the next datagram") {
  boost::asio::io_context loop;
  std::vector<std::string> received;
  DatagramSocket socket(loop, [&](Endpoint, absl::string_view bytes) {
    received.emplace_back(bytes);
    if (bytes == "throw")
      throw std::runtime_error("receiver");
    loop.stop();
  });
  REQUIRE(Capture([&] { return socket.Open(kLoopback); }).ok);
  const Endpoint address = {.ip = kLoopback.ip, .port = socket.port()};
  socket.Send(address, "throw");
  socket.Send(address, "next");
  CHECK(Run(loop) == std::vector<std::string>{"receiver"});
  CHECK(received == std::vector<std::string>{"throw", "next"});
}

}  // namespace
}  // namespace chicory
