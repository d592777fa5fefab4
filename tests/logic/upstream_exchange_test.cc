#include "modules/gateway/upstream_exchange.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/clock.h"
#include "modules/gateway/memory_reservation.h"
#include "modules/net/http_client.h"
#include "platform/header_codec.h"
#include "tests/logic/cut_responses.h"
#include "tests/logic/scripted_upstream.h"

namespace chicory {
namespace {

/** Records what an exchange reports. */
class Recorder : public UpstreamExchange::Listener {
 public:
  void OnAnnouncement(const ResponseClassification&) override {}
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
    not_run = failure.not_run;
    is_local = failure.is_local;
  }

  std::string body;
  /** "complete" or the reason of the failure; empty while it runs. */
  std::string outcome;
  AttemptResult result = AttemptResult::kDone;
  bool not_run = false;
  bool is_local = false;
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

constexpr char kPlainRequest[] = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

/** Sends one request as `options` say and runs `loop` until the exchange has
    ended. */
Recorder RunExchange(boost::asio::io_context& loop,
                     UpstreamExchange::Options options,
                     UpstreamPool* pool,
                     EventStreamSplitter* events,
                     MemoryBudget* memory = nullptr,
                     const std::string& request = kPlainRequest) {
  const HeaderCodec codec;
  const UpstreamDirectory directory;
  Recorder recorder;
  const auto exchange = std::make_shared<UpstreamExchange>(
      std::move(options),
      UpstreamExchange::Shared{.codec = codec,
                               .pool = *pool,
                               .directory = directory,
                               .memory = memory},
      events, &recorder);
  exchange->Send(request);
  const absl::Time begin = absl::Now();
  while (recorder.outcome.empty() && absl::Now() - begin < absl::Seconds(5))
    loop.run_one_for(std::chrono::milliseconds(100));
  return recorder;
}

/** Runs one exchange with an upstream that responds as `c` says. */
Recorder RunExchange(const Case& c, bool expects_stream) {
  boost::asio::io_context loop;
  ScriptedUpstream upstream(loop,
                            "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
                            "Response-Stamp: s1\r\n" +
                                c.framing_and_body,
                            c.ending);
  UpstreamPool pool(loop);
  EventStreamSplitter events;
  return RunExchange(loop,
                     {.upstream = 1,
                      .address = upstream.address(),
                      .request_id = "r1",
                      .expects_stream = expects_stream},
                     &pool, &events);
}

// Guards against upstreams that are avoided, and requests that run again,
// because this process had no memory for a response.
TEST_CASE("a response that exceeds the budget is no fault of its upstream") {
  boost::asio::io_context loop;
  ScriptedUpstream upstream(loop,
                            "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
                            "Response-Stamp: s1\r\n"
                            "Content-Length: 300000\r\n\r\n" +
                                std::string(200000, 'x'),
                            Ending::kOpen);
  UpstreamPool pool(loop);
  EventStreamSplitter events;
  MemoryBudget memory(
      {.max_bytes = 80 << 10, .now = [] { return absl::Now(); }});
  const Recorder recorder = RunExchange(
      loop, {.upstream = 1, .address = upstream.address(), .request_id = "r1"},
      &pool, &events, &memory);
  CHECK(recorder.outcome == "memory_limit");
  CHECK(recorder.result == AttemptResult::kCancelled);
  CHECK(recorder.is_local);
  CHECK_FALSE(recorder.not_run);
  CHECK(memory.used_bytes() == 0);
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
      {"an error's head inside the stream",
       "\r\n" + first + "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n",
       Ending::kClose, "stream_foreign_bytes", first},
      {"an error's text in a chunk",
       chunked + Chunk(first) + Chunk("failed\n\n") + "0\r\n\r\n",
       Ending::kOpen, "stream_foreign_bytes", first},
      {"an event that comes twice",
       chunked + Chunk(first) + Chunk(first) + "0\r\n\r\n", Ending::kOpen,
       "stream_foreign_bytes", first},
      {"comments only, closed", "\r\n: wait\n\n", Ending::kClose,
       "stream_truncated", ": wait\n\n"},
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

// Guards against the text of an error in the middle of a caller's stream: what
// answers the resumption of a stream is a stream, or nothing of it is
// forwarded.
TEST_CASE("only a stream resumes a stream") {
  struct ResumeCase {
    const char* name;
    std::string response;
    std::string outcome;
    std::string body;
  };
  const std::string own = "Request-Id: r1\r\nResponse-Stamp: s2\r\n";
  const std::string text = "Content-Length: 8\r\n\r\nfailed\n\n";
  const std::string next = "id: 4\ndata: b\n\n";
  const std::vector<ResumeCase> cases = {
      {"the next event",
       "200 OK\r\n" + own + "Content-Length: 15\r\n\r\n" + next, "complete",
       next},
      {"nothing left to send", "200 OK\r\n" + own + "Content-Length: 0\r\n\r\n",
       "complete", ""},
      {"an error", "500 Error\r\n" + own + text, "resume_refused", ""},
      {"a malformed request",
       "400 Bad Request\r\nNot-Executed: 1\r\n" + own + text, "resume_refused",
       ""},
      {"a refusal", "503 Full\r\nNot-Executed: 1\r\n" + own + text,
       "upstream_refused", ""},
      {"no content", "204 No Content\r\n" + own + "\r\n", "resume_refused", ""},
      {"a part", "206 Partial Content\r\n" + own + text, "resume_refused", ""},
      {"an error that is called a success", "200 OK\r\n" + own + text,
       "stream_foreign_bytes", ""},
      {"the stream from its begin",
       "200 OK\r\n" + own + "Content-Length: 15\r\n\r\nid: 0\ndata: a\n\n",
       "stream_foreign_bytes", ""},
      {"unsigned",
       "200 OK\r\nRequest-Id: r1\r\nContent-Length: 15\r\n\r\n" + next,
       "unsigned_answer", ""},
  };
  for (const ResumeCase& c : cases) {
    INFO(c.name);
    boost::asio::io_context loop;
    ScriptedUpstream upstream(loop, "HTTP/1.1 " + c.response, Ending::kOpen);
    UpstreamPool pool(loop);
    EventStreamSplitter events;
    events.Add("id: 3\ndata: a\n\nid: 4\nda");
    events.TakeEvents();
    const Recorder recorder = RunExchange(loop,
                                          {.upstream = 1,
                                           .address = upstream.address(),
                                           .request_id = "r1",
                                           .is_retryable = true,
                                           .expects_stream = true,
                                           .resumes_stream = true},
                                          &pool, &events);
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

/** Runs an exchange whose response is `bytes`, after which the upstream ends
    the connection, on a connection that has carried another exchange if
    `is_reused` is set. */
Recorder RunCutExchange(const std::string& bytes,
                        Ending ending,
                        bool is_reused,
                        bool expects_stream) {
  boost::asio::io_context loop;
  std::vector<std::string> responses = {bytes};
  if (is_reused) {
    responses.insert(responses.begin(),
                     "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\n"
                     "Response-Stamp: s\r\nContent-Length: 0\r\n\r\n");
  }
  ScriptedUpstream upstream(loop, responses, ending);
  UpstreamPool pool(loop);
  EventStreamSplitter events;
  UpstreamExchange::Options options{.upstream = 1,
                                    .address = upstream.address(),
                                    .request_id = "r0",
                                    .is_retryable = true};
  if (is_reused)
    RunExchange(loop, options, &pool, &events);
  options.request_id = "r1";
  options.expects_stream = expects_stream;
  return RunExchange(loop, options, &pool, &events);
}

// Guards against a response whose upstream had stopped inside the head, and
// that reached its caller as a whole one with an empty or short body; and
// against a false "not run" because the part of a head held a refusal.
TEST_CASE("a response cut inside its head is a failure that may have run") {
  struct Kind {
    const char* name;
    std::string status_line;
    std::string fields;
    bool expects_stream;
  };
  const std::string own = "Request-Id: r1\r\nResponse-Stamp: s1\r\n";
  const std::vector<Kind> kinds = {
      {"a stream", "HTTP/1.1 200 OK\r\n", own, true},
      {"a success", "HTTP/1.1 200 OK\r\n", own, false},
      {"a refusal", "HTTP/1.1 503 Full\r\n", "Not-Executed: 1\r\n" + own,
       false},
  };
  const std::string body = "id: 0\ndata: a\n\n";
  for (const Kind& kind : kinds) {
    for (const WholeResponse& whole :
         WholeResponses(kind.status_line, kind.fields, body)) {
      for (size_t cut = 1; cut < whole.head.size(); ++cut) {
        for (const Ending ending : {Ending::kClose, Ending::kReset}) {
          for (const bool is_reused : {false, true}) {
            const Recorder recorder =
                RunCutExchange(whole.head.substr(0, cut), ending, is_reused,
                               kind.expects_stream);
            INFO(kind.name << ", " << BodyFramingName(whole.framing)
                           << ", cut after " << cut << " bytes"
                           << (ending == Ending::kReset ? ", reset" : "")
                           << (is_reused ? ", kept connection" : ""));
            CHECK((recorder.outcome == "connection_broken" ||
                   recorder.outcome == "kept_connection_stale"));
            CHECK_FALSE(recorder.not_run);
            CHECK(recorder.body.empty());
          }
        }
      }
    }
  }
}

// Guards against upstreams that crash while they respond and are not found out:
// on a kept connection the crash was taken for an end while it was idle.
TEST_CASE("a kept connection that ends inside a head is no stale one") {
  const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n";
  for (size_t cut = 0; cut < head.size(); ++cut) {
    const Recorder recorder =
        RunCutExchange(head.substr(0, cut), Ending::kClose,
                       /*is_reused=*/true, /*expects_stream=*/false);
    INFO("cut after " << cut << " bytes");
    CHECK(recorder.outcome ==
          (cut == 0 ? "kept_connection_stale" : "connection_broken"));
    CHECK(recorder.result ==
          (cut == 0 ? AttemptResult::kCancelled : AttemptResult::kCrash));
  }
}

// The same inside the body: only a body without a length may end with its
// connection, in good order.
TEST_CASE("a response cut inside its body is not complete") {
  const std::string own = "Request-Id: r1\r\nResponse-Stamp: s1\r\n";
  const std::string body = "id: 0\ndata: a\n\n";
  for (const bool expects_stream : {false, true}) {
    for (const int status : {200, 503}) {
      for (const WholeResponse& whole :
           WholeResponses("HTTP/1.1 " + std::to_string(status) + " Status\r\n",
                          own, body)) {
        for (size_t cut = whole.head.size(); cut < whole.bytes().size();
             ++cut) {
          for (const Ending ending : {Ending::kClose, Ending::kReset}) {
            if (ending == Ending::kClose && whole.IsWholeAfter(cut) &&
                !(expects_stream && status == 200))
              continue;
            const Recorder recorder =
                RunCutExchange(whole.bytes().substr(0, cut), ending,
                               /*is_reused=*/false, expects_stream);
            INFO((expects_stream ? "stream" : "plain")
                 << ", status " << status << ", "
                 << BodyFramingName(whole.framing) << ", cut after " << cut
                 << " bytes" << (ending == Ending::kReset ? ", reset" : ""));
            CHECK((recorder.outcome == "connection_broken" ||
                   recorder.outcome == "stream_truncated"));
            CHECK_FALSE(recorder.not_run);
            CHECK((recorder.body.empty() || recorder.body == body));
          }
        }
      }
    }
  }
}

/** Returns a request with a body of `body_bytes`. */
std::string UploadRequest(size_t body_bytes) {
  return "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes, 'u');
}

// Guards against a part of a response that reached its caller as a whole one:
// the write of the request had met the reset, after which the read met an
// orderly end.
TEST_CASE("a response is not complete if a reset ends it during the upload") {
  struct UploadCase {
    const char* name;
    std::string framing_and_body;
    Ending ending;
    std::string outcome;
  };
  const std::string event = "id: 0\ndata: a\n\n";
  const std::vector<UploadCase> cases = {
      {"no length", "\r\n" + event, Ending::kReset, "connection_broken"},
      {"no length, no body", "\r\n", Ending::kReset, "connection_broken"},
      {"a length", "Content-Length: 30\r\n\r\n" + event, Ending::kReset,
       "connection_broken"},
      {"chunked", "Transfer-Encoding: chunked\r\n\r\n" + Chunk(event),
       Ending::kReset, "connection_broken"},
      {"a length, whole", "Content-Length: 15\r\n\r\n" + event, Ending::kReset,
       "complete"},
      {"no length, ended in good order", "\r\n" + event, Ending::kHalfClose,
       "complete"},
  };
  struct Upload {
    const char* name;
    size_t body_bytes;
    ResponseTime response_time;
  };
  const std::vector<Upload> uploads = {
      {"short upload", 1000, ResponseTime::kAfterHead},
      {"long upload", 24 << 20, ResponseTime::kAfterHead},
      {"blocked upload", 24 << 20, ResponseTime::kOnceBlocked},
  };
  for (const Upload& upload : uploads) {
    for (const bool is_reused : {false, true}) {
      for (const bool expects_stream : {false, true}) {
        for (const UploadCase& c : cases) {
          INFO(c.name << ", " << upload.name
                      << (is_reused ? ", kept connection" : "")
                      << (expects_stream ? ", stream" : ""));
          const std::string own =
              "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Stamp: s1\r\n";
          std::vector<std::string> responses = {own + c.framing_and_body};
          if (is_reused)
            responses.insert(responses.begin(),
                             own + "Content-Length: 0\r\n\r\n");
          boost::asio::io_context loop;
          ScriptedUpstream upstream(loop, responses, c.ending,
                                    upload.response_time);
          UpstreamPool pool(loop);
          EventStreamSplitter events;
          UpstreamExchange::Options options{.upstream = 1,
                                            .address = upstream.address(),
                                            .request_id = "r1",
                                            .is_retryable = true};
          if (is_reused)
            RunExchange(loop, options, &pool, &events);
          options.expects_stream = expects_stream;
          const Recorder recorder =
              RunExchange(loop, options, &pool, &events, nullptr,
                          UploadRequest(upload.body_bytes));
          CHECK(recorder.outcome == c.outcome);
          CHECK_FALSE(recorder.not_run);
          if (!expects_stream && c.outcome != "complete")
            CHECK(recorder.body.empty());
        }
      }
    }
  }
}

// Guards against a false "not run": a faulty upstream repeats an earlier
// refusal on a kept connection while it runs the next request.
TEST_CASE("a late copy of a refusal does not refuse the next request") {
  struct ReplayCase {
    const char* name;
    /** Fields of the response that comes first on the connection. */
    std::string head;
    bool is_reused;
    std::string outcome;
    bool not_run;
  };
  const std::string full = "503 Full\r\nNot-Executed: 1\r\n";
  const std::string other = "answer_to_another_request";
  const std::vector<ReplayCase> cases = {
      {"without an id", full, true, other, false},
      {"with the id of the former request", full + "Request-Id: r0\r\n", true,
       other, false},
      {"with its own id", full + "Request-Id: r1\r\n", true, "upstream_refused",
       true},
      {"as another upstream, without an id", "421 Misdirected\r\n", true, other,
       false},
      {"as malformed, without an id", "400 Bad Request\r\nNot-Executed: 1\r\n",
       true, other, false},
      {"without an id, on a new connection", full, false, "upstream_refused",
       true},
      {"with the id of another request, on a new connection",
       full + "Request-Id: r0\r\n", false, other, false},
  };
  for (const ReplayCase& c : cases) {
    INFO(c.name);
    const std::string rest = "Content-Length: 0\r\n\r\n";
    std::vector<std::string> responses;
    if (c.is_reused) {
      responses.push_back(
          "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nResponse-Stamp: s\r\n" + rest);
    }
    responses.push_back("HTTP/1.1 " + c.head + rest);
    boost::asio::io_context loop;
    ScriptedUpstream upstream(loop, responses, Ending::kOpen);
    UpstreamPool pool(loop);
    EventStreamSplitter events;
    Recorder recorder;
    for (size_t i = 0; i < responses.size(); ++i) {
      const bool is_last = i + 1 == responses.size();
      recorder = RunExchange(loop,
                             {.upstream = 1,
                              .address = upstream.address(),
                              .request_id = is_last ? "r1" : "r0",
                              .is_retryable = true},
                             &pool, &events);
    }
    CHECK(recorder.outcome == c.outcome);
    CHECK(recorder.not_run == c.not_run);
  }
}

/** Returns `unit`, whose length divides kRepeatedBytes, over and over. */
std::string Filler(const std::string& unit) {
  std::string bytes;
  while (bytes.size() < kRepeatedBytes)
    bytes += unit;
  return bytes;
}

// Guards against a sound request that is refused everywhere because upstreams
// which run on have sent malformed responses to it.
TEST_CASE("a malformed response is no crash of its upstream") {
  struct MalformedCase {
    const char* name;
    std::string framing_and_body;
    Ending ending;
    AttemptResult result;
  };
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const auto c = GENERATE_COPY(
      MalformedCase{"a field without a colon", "odd\r\n\r\n", Ending::kOpen,
                    AttemptResult::kFault},
      MalformedCase{"a chunk without a size", chunked + "x\r\n", Ending::kOpen,
                    AttemptResult::kFault},
      MalformedCase{"a chunk without a size, closed", chunked + "x\r\n",
                    Ending::kClose, AttemptResult::kFault},
      MalformedCase{"an incomplete chunk, closed", chunked + "4\r\nab",
                    Ending::kClose, AttemptResult::kCrash},
      MalformedCase{"an incomplete head, closed", "A: ", Ending::kClose,
                    AttemptResult::kCrash});
  INFO(c.name);
  const Recorder recorder = RunExchange(
      {.framing_and_body = c.framing_and_body, .ending = c.ending}, false);
  CHECK(recorder.outcome == "connection_broken");
  CHECK(recorder.result == c.result);
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
      {"short fields", false, Filler("A: aaa\r\n"), "connection_broken"},
      {"one field", false, "X-A: " + Filler("a"), "connection_broken"},
      {"size of a chunk", false, chunked + Filler("0"), "connection_broken"},
      {"extension of a chunk", false, chunked + "1;" + Filler("a"),
       "connection_broken"},
      {"trailer", false, chunked + "0\r\n" + Filler("A: aaa\r\n"),
       "connection_broken"},
      {"trailer of a stream", true, chunked + "0\r\n" + Filler("A: aaa\r\n"),
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

// Guards against a process that ended with std::bad_alloc, and all requests in
// flight with it, because memory was reserved for an announced length.
TEST_CASE("an announced length that never arrives uses no memory") {
  const std::string event = "id: 0\ndata: a\n\n";
  struct LengthCase {
    const char* name;
    bool expects_stream;
    std::string length;
    std::string outcome;
    std::string body;
  };
  const std::vector<LengthCase> cases = {
      {"more than any machine has", false, "8002451873009624",
       "response_too_large", ""},
      {"more than a string can hold", false, "18446744073709551615",
       "response_too_large", ""},
      {"more than an instance keeps", false, "4000000000", "response_too_large",
       ""},
      {"no number of 64 bits", false, "99999999999999999999",
       "connection_broken", ""},
      {"stream", true, "8002451873009624", "connection_broken", event},
      {"stream, more than a string can hold", true, "18446744073709551615",
       "connection_broken", event},
  };
  for (const LengthCase& c : cases) {
    INFO(c.name);
    const Recorder recorder = RunExchange(
        {.framing_and_body = "Content-Length: " + c.length + "\r\n\r\n" + event,
         .ending = Ending::kClose},
        c.expects_stream);
    CHECK(recorder.outcome == c.outcome);
    CHECK(recorder.body == c.body);
  }
}

// The same for the responses of the store and of engines to orders.
TEST_CASE("a call fails at an announced length that is too large") {
  for (const char* length : {"8002451873009624", "18446744073709551615"}) {
    INFO(length);
    boost::asio::io_context loop;
    ScriptedUpstream server(loop,
                            std::string("HTTP/1.1 200 OK\r\nContent-Length: ") +
                                length + "\r\n\r\nbody",
                            Ending::kOpen);
    HttpClient client(loop, server.address());
    std::optional<HttpCallResult> result;
    client.Call({.target = "/a", .timeout = absl::Seconds(3)},
                [&](HttpCallResult outcome) { result = std::move(outcome); });
    const absl::Time begin = absl::Now();
    while (!result && absl::Now() - begin < absl::Seconds(5))
      loop.run_one_for(std::chrono::milliseconds(100));
    REQUIRE(result);
    CHECK_FALSE(result->has_response);
    CHECK(absl::Now() - begin < absl::Seconds(2));
  }
}

// Guards against the end of the process for lack of memory: with a call to each
// engine of a prompt, or three to the store, it kept 32 MiB of each response.
TEST_CASE("a call gives up a response without end") {
  const std::string response = "HTTP/1.1 200 OK\r\n\r\n" + Filler("a");
  // What the sockets of both sides may hold.
  constexpr size_t kSocketBytes = 8 << 20;
  SECTION("to the store") {
    boost::asio::io_context loop;
    ScriptedUpstream server(loop, response, Ending::kRepeat);
    HttpClient client(loop, server.address());
    std::optional<HttpCallResult> result;
    client.Call({.target = "/a", .timeout = absl::Seconds(20)},
                [&](HttpCallResult outcome) { result = std::move(outcome); });
    while (!result)
      loop.run_one();
    CHECK_FALSE(result->has_response);
    CHECK(server.repeated_bytes() <= (8 << 20) + kSocketBytes);
  }
  SECTION("to an engine that is to reserve memory") {
    boost::asio::io_context loop;
    ScriptedUpstream engine(loop, response, Ending::kRepeat);
    const HeaderCodec codec;
    auto reservation = std::make_shared<MemoryReservation>(
        loop, codec, "m",
        std::vector<MemoryReservation::Share>{
            {.upstream_id = "e", .address = engine.address(), .tokens = 1}});
    std::optional<bool> is_granted;
    reservation->Acquire([&](bool granted) { is_granted = granted; });
    while (!is_granted)
      loop.run_one();
    CHECK_FALSE(*is_granted);
    CHECK(engine.repeated_bytes() <= kSocketBytes);
    // The order to release isn't answered, and keeps the reservation until its
    // timeout.
    const std::weak_ptr<MemoryReservation> unowned = reservation;
    reservation.reset();
    const absl::Time begin = absl::Now();
    while (!unowned.expired() && absl::Now() - begin < absl::Seconds(5))
      loop.run_one_for(std::chrono::milliseconds(100));
    CHECK(unowned.expired());
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
