#include "review/stand_ins/worker.h"

#include <cstdlib>
#include <thread>
#include <utility>

namespace review {

namespace {

constexpr char kRefusal[] =
    "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
    "Content-Length: 0\r\n\r\n";
constexpr char kMisdirected[] =
    "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
constexpr char kBadRequest[] =
    "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
/** The answer to an order: no memory can be set aside here. */
constexpr char kOrderRefused[] =
    "HTTP/1.1 409 Conflict\r\nContent-Type: application/json\r\n"
    "Content-Length: 10\r\n\r\n{\"free\":0}";
constexpr int kBodyBytes = 800;

/** Speed of an engine of the small deployments. */
constexpr double kPromptTokensPerMs = 177;
constexpr double kMsPerMillionPairs = 0.184;

std::string Hex(size_t number) {
  char text[32];
  std::snprintf(text, sizeof(text), "%zx", number);
  return text;
}

}  // namespace

Worker::Worker(WorkerOptions options, Record* record)
    : options_(std::move(options)),
      record_(record),
      server_([this](Connection& connection) { Serve(connection); }) {}

bool Worker::Start(const std::string& ip) {
  return server_.Start(ip);
}

std::string Worker::Entry(const std::string& state) const {
  return "{\"service\":\"" + options_.service + "\",\"address\":\"" +
         server_.address().Text() + "\",\"zone\":\"" + options_.zone +
         "\",\"version\":\"v1\",\"slots\":" + std::to_string(options_.slots) +
         ",\"state\":\"" + state +
         "\",\"cold-remaining-ms\":0,\"born\":1780000000000,\"sequence\":4}";
}

int Worker::Runs(const std::string& id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = runs_.find(id);
  return found == runs_.end() ? 0 : found->second;
}

int Worker::TotalRuns() {
  const std::lock_guard<std::mutex> lock(mutex_);
  int total = 0;
  for (const auto& [id, count] : runs_)
    total += count;
  return total;
}

void Worker::Serve(Connection& connection) {
  while (const auto request = connection.ReadRequest()) {
    if (!Answer(connection, *request))
      return;
  }
}

std::string Worker::Head(const std::string& id) const {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
         "\r\nResponse-Stamp: " + options_.id + "." + id +
         "\r\nKeep-Alive: timeout=5\r\n";
}

Milliseconds Worker::WorkTime(const Request& request) const {
  if (!options_.reads_prompts)
    return options_.work_time;
  const double tokens = std::atoi(request.Field("token-count").c_str());
  const double million_pairs = tokens * tokens / 2 / 1e6;
  return options_.work_time +
         Milliseconds(static_cast<int64_t>(tokens / kPromptTokensPerMs +
                                           million_pairs * kMsPerMillionPairs));
}

bool Worker::Answer(Connection& connection, const Request& request) {
  const std::string id = request.Field("request-id");
  if (request.Field("expect-instance") != options_.id) {
    record_->Add("worker " + options_.id + ": 421 to " + id);
    return connection.Write(kMisdirected);
  }
  if (request.target == "/order") {
    record_->Add("worker " + options_.id + ": order " + request.body);
    return connection.Write(kOrderRefused);
  }
  if (id.empty())
    return connection.Write(kBadRequest);
  if (running_ >= options_.slots) {
    record_->Add("worker " + options_.id + ": full for " + id);
    return connection.Write(kRefusal);
  }
  ++running_;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++runs_[id];
  }
  record_->Add("worker " + options_.id + ": runs " + id);
  std::this_thread::sleep_for(WorkTime(request));
  bool goes_on = false;
  const auto spoiled =
      options_.spoiled_answer ? options_.spoiled_answer(request) : std::nullopt;
  if (spoiled) {
    record_->Add("worker " + options_.id + ": spoils the answer to " + id);
    goes_on = connection.Write(*spoiled);
  } else if (options_.events > 0) {
    goes_on = Stream(connection, request);
  } else {
    const std::string body(kBodyBytes, 'b');
    goes_on = connection.Write(Head(id) + "Content-Length: " +
                               std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  --running_;
  return goes_on;
}

bool Worker::TakeFramed() {
  const bool is_window = options_.unframed_every > 0 &&
                         record_->Now() % options_.unframed_period.count() <
                             options_.unframed_length.count();
  return !is_window || ++streams_ % options_.unframed_every != 0;
}

bool Worker::Stream(Connection& connection, const Request& request) {
  const std::string last = request.Field("last-event-id");
  const int first = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
  int events = options_.events;
  if (options_.tokens_per_event > 0) {
    const std::string counts = request.Field("token-count");
    events = std::atoi(counts.substr(counts.find(',') + 1).c_str()) /
             options_.tokens_per_event;
  }
  const bool is_framed = TakeFramed();
  const std::string id = request.Field("request-id");
  if (!is_framed)
    record_->Add("worker " + options_.id + ": answers " + id + " unframed");
  if (!connection.Write(Head(id) + "Content-Type: text/event-stream\r\n" +
                        (is_framed ? "Transfer-Encoding: chunked\r\n" : "") +
                        "\r\n"))
    return false;
  for (int i = first; i <= events; ++i) {
    if (i > first)
      std::this_thread::sleep_for(options_.event_time);
    const std::string event = "id: " + std::to_string(i) + "\ndata: piece\n\n";
    const std::string bytes =
        is_framed ? Hex(event.size()) + "\r\n" + event + "\r\n" : event;
    if (connection.IsClosedByPeer() || !connection.Write(bytes))
      return false;
  }
  return is_framed && connection.Write("0\r\n\r\n");
}

}  // namespace review
