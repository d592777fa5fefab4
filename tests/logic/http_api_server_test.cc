#include "modules/serving/http_api_server.h"

#include <httplib.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <string>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace chicory {
namespace {

namespace asio = boost::asio;

constexpr size_t kMaxBodyBytes = 1 << 20;
/** More than the kernel's buffers of a connection hold. */
constexpr size_t kLongBodyBytes = 12 << 20;
/** More than the library takes. */
constexpr size_t kLongHeaderBytes = 20000;
constexpr size_t kMemoryBytes = 64 << 20;

/** A server with a memory budget, and one connection to it. */
struct Fixture {
  explicit Fixture(size_t max_threads = 512)
      : memory(kMemoryBytes),
        server(OptionsWith(&memory, max_threads)),
        client(loop) {
    server.routes().Post(
        "/a", HttpApiServer::WithBody(
                  [this](const httplib::Request&, httplib::Response& response) {
                    ++handled;
                    response.set_content("ok", "text/plain");
                  }));
    server.routes().Get(
        "/b", [](const httplib::Request&, httplib::Response& response) {
          response.set_content("ok", "text/plain");
        });
    const auto address = server.Start();
    REQUIRE(address.has_value());
    const size_t colon = address->find(':');
    int port = 0;
    REQUIRE(absl::SimpleAtoi(address->substr(colon + 1), &port));
    client.connect({asio::ip::address_v4::loopback(),
                    static_cast<asio::ip::port_type>(port)});
  }

  static HttpApiServer::Options OptionsWith(SharedMemoryBudget* memory,
                                            size_t max_threads) {
    return {.listen = "127.0.0.1:0",
            .max_threads = max_threads,
            .max_body_bytes = kMaxBodyBytes,
            .memory = memory};
  }

  /** Sends all of `bytes` and returns the error if that fails. */
  boost::system::error_code Send(const std::string& bytes) {
    boost::system::error_code error;
    asio::write(client, asio::buffer(bytes), error);
    return error;
  }

  /** Returns all that the server sends until it closes. */
  std::string Received() {
    std::string bytes;
    boost::system::error_code error;
    asio::read(client, asio::dynamic_buffer(bytes), error);
    CHECK(error == asio::error::eof);
    return bytes;
  }

  std::atomic<int> handled{0};
  SharedMemoryBudget memory;
  HttpApiServer server;
  asio::io_context loop;
  asio::ip::tcp::socket client;
};

std::string ChunkedBody(size_t size) {
  return absl::StrCat(absl::Hex(size), "\r\n", std::string(size, 'x'),
                      "\r\n0\r\n\r\n");
}

struct RefusedRequest {
  const char* name;
  std::string head;
  std::string body;
  const char* status_line;
};

}  // namespace

/** Guards against refusals that are lost because the server resets a connection
    on which the caller is still sending. */
TEST_CASE("a refusal reaches a caller that sends all before it reads") {
  const std::string long_body(kLongBodyBytes, 'x');
  const std::string length =
      absl::StrCat("Content-Length: ", kLongBodyBytes, "\r\n");
  const RefusedRequest requests[] = {
      {.name = "announced length over the limit",
       .head = length,
       .body = long_body,
       .status_line = "HTTP/1.1 413 "},
      {.name = "announced length over the limit, waits for 100 Continue",
       .head = length + "Expect: 100-continue\r\n",
       .body = long_body,
       .status_line = "HTTP/1.1 413 "},
      {.name = "chunk over the limit",
       .head = "Transfer-Encoding: chunked\r\n",
       .body = ChunkedBody(kLongBodyBytes),
       .status_line = "HTTP/1.1 413 "}};
  for (const RefusedRequest& request : requests) {
    INFO(request.name);
    Fixture fixture;
    CHECK(!fixture.Send(absl::StrCat("POST /a HTTP/1.1\r\nHost: h\r\n",
                                     request.head, "\r\n", request.body)));
    const std::string received = fixture.Received();
    CHECK(absl::StartsWith(received, request.status_line));
    CHECK(absl::StrContains(received, "Connection: close\r\n"));
  }
}

/** Guards against last responses that are lost because of the next request. */
TEST_CASE("the last response of a drained server reaches its caller") {
  Fixture fixture;
  fixture.server.Drain();
  const std::string request = absl::StrCat(
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: ", kMaxBodyBytes,
      "\r\n\r\n", std::string(kMaxBodyBytes, 'x'));
  std::string requests;
  for (size_t sent = 0; sent < kLongBodyBytes; sent += kMaxBodyBytes)
    requests.append(request);
  CHECK(!fixture.Send(requests));
  const std::string received = fixture.Received();
  CHECK(absl::StartsWith(received, "HTTP/1.1 200 "));
  CHECK(absl::StrContains(received, "Connection: close\r\n"));
}

/** Guards against the rest of a malformed request that runs as a request. */
TEST_CASE("nothing after a malformed head is a request") {
  struct Malformed {
    const char* name;
    std::string head;
  };
  const Malformed requests[] = {
      {.name = "header over the limit",
       .head = absl::StrCat("POST /a HTTP/1.1\r\nX-Long: ",
                            std::string(kLongHeaderBytes, 'x'), "\r\n\r\n")},
      {.name = "request line with another version",
       .head = "POST /a HTTP/3.7\r\nHost: h\r\n\r\n"},
      {.name = "request line without a target",
       .head = "POST\r\nHost: h\r\n\r\n"},
      {.name = "method that is none", .head = "PO ST /a HTTP/1.1\r\n\r\n"}};
  for (const Malformed& request : requests) {
    INFO(request.name);
    Fixture fixture;
    CHECK(!fixture.Send(request.head +
                        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: "
                        "0\r\n\r\n"));
    const std::string received = fixture.Received();
    CHECK(absl::StartsWith(received, "HTTP/1.1 400 "));
    CHECK(absl::StrContains(received, "Connection: close\r\n"));
    CHECK(received.rfind("HTTP/1.1 ") == 0);
    CHECK(fixture.handled == 0);
  }
}

/** Guards against bodies that nobody reads and that run as requests. */
TEST_CASE("a body that no handler reads is no request") {
  const std::string hidden =
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
  const std::string length =
      absl::StrCat("Content-Length: ", hidden.size(), "\r\n\r\n");
  struct Unread {
    const char* name;
    std::string request;
  };
  const Unread requests[] = {
      {.name = "GET with a length",
       .request = "GET /b HTTP/1.1\r\nHost: h\r\n" + length + hidden},
      {.name = "GET in chunks",
       .request = absl::StrCat("GET /b HTTP/1.1\r\nHost: h\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n",
                               hidden)},
      {.name = "HEAD with a length",
       .request = "HEAD /b HTTP/1.1\r\nHost: h\r\n" + length + hidden},
      {.name = "OPTIONS with a length",
       .request = "OPTIONS /b HTTP/1.1\r\nHost: h\r\n" + length + hidden}};
  for (const Unread& request : requests) {
    INFO(request.name);
    Fixture fixture;
    CHECK(!fixture.Send(request.request));
    const std::string received = fixture.Received();
    CHECK(absl::StrContains(received, "Connection: close\r\n"));
    CHECK(received.rfind("HTTP/1.1 ") == 0);
    CHECK(fixture.handled == 0);
  }
}

/** Guards against bodies that run as requests, or requests with another body,
    because the library skips the lines of a head that it cannot read. */
TEST_CASE("a server runs no request whose head is in doubt") {
  const std::string hidden =
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
  const std::string length = absl::StrCat(hidden.size());
  struct Doubtful {
    const char* name;
    std::string fields;
    const char* status_line;
  };
  const Doubtful requests[] = {
      {"coding without chunks", "Transfer-Encoding: gzip\r\n", "400"},
      {"identity and a length",
       absl::StrCat("Transfer-Encoding: identity\r\nContent-Length: ", length,
                    "\r\n"),
       "400"},
      {"chunks below another coding", "Transfer-Encoding: chunked, gzip\r\n",
       "400"},
      {"coding below chunks", "Transfer-Encoding: gzip, chunked\r\n", "501"},
      {"length and chunks",
       "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "400"},
      {"blank before the colon of a length",
       absl::StrCat("Content-Length: 0\r\nContent-Length : ", length, "\r\n"),
       "400"},
      {"length in a line that ends with a line feed",
       absl::StrCat("Content-Length: ", length, "\nX: y\r\n"), "400"},
      {"equal lengths", "Content-Length: 0\r\nContent-Length: 0\r\n", "400"},
      {"different lengths",
       absl::StrCat("Content-Length: 0\r\nContent-Length: ", length, "\r\n"),
       "400"},
      {"length with a sign", "Content-Length: +0\r\n", "400"},
      {"length that is no number", "Content-Length: x\r\n", "400"},
      {"line without a colon", "Content-Length: 0\r\nnonsense\r\n", "400"},
      {"head over the limit",
       absl::StrCat("X: ", std::string(100000, 'x'), "\r\n"), "431"}};
  for (const Doubtful& request : requests) {
    INFO(request.name);
    Fixture fixture;
    CHECK(!fixture.Send(absl::StrCat("POST /a HTTP/1.1\r\nHost: h\r\n",
                                     request.fields, "\r\n", hidden)));
    const std::string received = fixture.Received();
    CHECK(absl::StartsWith(
        received, absl::StrCat("HTTP/1.1 ", request.status_line, " ")));
    CHECK(absl::StrContains(received, "Connection: close\r\n"));
    CHECK(received.rfind("HTTP/1.1 ") == 0);
    CHECK(fixture.handled == 0);
  }
}

/** Guards against heads that are read in part only, or bytes that are lost,
    between the check and the library. */
TEST_CASE("a server serves requests in whatever pieces they arrive") {
  const std::string requests =
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"
      "GET /b HTTP/1.1\r\nHost: h\r\nX-Folded: y\r\n z\r\n\r\n"
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n"
      "Connection: close\r\n\r\n";
  for (const size_t step : {size_t{1}, size_t{7}, requests.size()}) {
    INFO(step << " bytes at a time");
    Fixture fixture;
    fixture.client.set_option(asio::ip::tcp::no_delay(true));
    for (size_t i = 0; i < requests.size(); i += step)
      CHECK(!fixture.Send(requests.substr(i, step)));
    const std::string received = fixture.Received();
    int responses = 0;
    for (size_t at = received.find("HTTP/1.1 200 "); at != std::string::npos;
         at = received.find("HTTP/1.1 200 ", at + 1))
      ++responses;
    CHECK(responses == 4);
    CHECK(fixture.handled == 3);
  }
}

/** Guards against responses to no request, which callers take for those to
    their next one. */
TEST_CASE("only a caller that has begun a request is told that it is ended") {
  struct Ended {
    const char* name;
    std::string sent;
    const char* received;
  };
  const Ended callers[] = {
      {"no request", "", ""},
      {"after a response", "GET /b HTTP/1.1\r\nHost: h\r\n\r\n", ""},
      {"part of a head", "POST /a HTTP/1.1\r\nHo", "HTTP/1.1 503 "}};
  for (const Ended& caller : callers) {
    INFO(caller.name);
    Fixture fixture(/*max_threads=*/1);
    CHECK(!fixture.Send(caller.sent));
    if (absl::EndsWith(caller.sent, "\r\n\r\n")) {
      boost::system::error_code error;
      std::string response;
      asio::read_until(fixture.client, asio::dynamic_buffer(response),
                       "\r\n\r\nok", error);
      CHECK(!error);
    }
    // The connection is being served.
    absl::SleepFor(absl::Milliseconds(50));
    asio::ip::tcp::socket other(fixture.loop);
    other.connect(fixture.client.remote_endpoint());
    const std::string received = fixture.Received();
    CHECK(received.rfind(caller.received, 0) == 0);
    CHECK(received.empty() == std::string(caller.received).empty());
  }
}

TEST_CASE("a caller whose announced body is legal is told to continue") {
  Fixture fixture;
  const std::string body(kMaxBodyBytes, 'x');
  CHECK(!fixture.Send(
      absl::StrCat("POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
                   "Connection: close\r\nContent-Length: ",
                   body.size(), "\r\n\r\n")));
  std::string interim(std::string("HTTP/1.1 100 Continue\r\n\r\n").size(), ' ');
  asio::read(fixture.client, asio::buffer(interim));
  CHECK(interim == "HTTP/1.1 100 Continue\r\n\r\n");
  CHECK(!fixture.Send(body));
  CHECK(absl::StartsWith(fixture.Received(), "HTTP/1.1 200 "));
}

}  // namespace chicory
