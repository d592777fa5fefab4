#include "review/stand_ins/caller.h"

#include <utility>

namespace review {

namespace {

/** Clients allow a new connection this long to be established. */
constexpr Milliseconds kConnectTimeout(1000);

}  // namespace

std::string RequestBytes(const CallKind& kind,
                         const std::string& host,
                         const std::string& key,
                         const std::string& id) {
  std::string bytes =
      kind.method + " " + kind.path + " HTTP/1.1\r\nHost: " + host +
      "\r\nRequest-Id: " + id +
      "\r\nDeadline-Ms: " + std::to_string(kind.deadline.count()) + "\r\n";
  if (!key.empty())
    bytes += "Authorization: Bearer " + key + "\r\n";
  bytes += kind.fields;
  if (kind.method == "POST")
    bytes += "Content-Length: " + std::to_string(kind.body.size()) + "\r\n";
  return bytes + "\r\n" + kind.body;
}

Callers::Callers(Options options, Record* record)
    : options_(std::move(options)), record_(record) {}

Callers::~Callers() {
  Stop();
}

void Callers::Start() {
  for (int client = 0; client < options_.clients; ++client)
    threads_.emplace_back([this, client] { Run(client); });
}

void Callers::Stop() {
  stopping_ = true;
  for (std::thread& thread : threads_)
    thread.join();
  threads_.clear();
}

std::vector<CallResult> Callers::results() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return results_;
}

void Callers::Run(int client) {
  std::unique_ptr<Connection> connection;
  Address gateway;
  std::this_thread::sleep_for(options_.start_gap * client);
  for (int number = 0; !stopping_; ++number) {
    const size_t turn =
        static_cast<size_t>(client) + static_cast<size_t>(number);
    const CallKind& kind = options_.kinds[turn % options_.kinds.size()];
    const std::string id =
        "c" + std::to_string(client) + "-" + std::to_string(number);
    Keep(Call(kind, id, turn, &connection, &gateway));
    std::this_thread::sleep_for(options_.pause);
  }
}

void Callers::Keep(CallResult result) {
  const Response& response = result.response;
  record_->Add("caller: " + result.id + " " + result.kind + " at " +
               result.gateway + (result.on_kept_connection ? " kept" : "") +
               " sent=" + std::to_string(result.sent_ms) + " " +
               EndName(response.end) +
               " status=" + std::to_string(response.status));
  const std::lock_guard<std::mutex> lock(mutex_);
  results_.push_back(std::move(result));
}

CallResult Callers::Call(const CallKind& kind,
                         const std::string& id,
                         size_t turn,
                         std::unique_ptr<Connection>* connection,
                         Address* gateway) {
  CallResult result{.id = id, .kind = kind.name, .sent_ms = record_->Now()};
  if (*connection && (*connection)->IsClosedByPeer())
    connection->reset();
  result.on_kept_connection = *connection != nullptr;
  if (!*connection) {
    *gateway = options_.gateways[turn % options_.gateways.size()];
    *connection = Connection::Open(*gateway, kConnectTimeout);
  }
  result.gateway = gateway->Text();
  if (!*connection)
    return result;
  const Clock::time_point until = Clock::now() + kind.deadline;
  (*connection)
      ->Write(RequestBytes(kind, options_.host, options_.key, result.id));
  result.response = (*connection)->ReadResponse(until);
  if (result.response.end != End::kComplete ||
      !result.response.keeps_connection)
    connection->reset();
  return result;
}

}  // namespace review
