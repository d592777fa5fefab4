#include "review/stand_ins_2/harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <sstream>
#include <thread>

namespace review {

namespace {

constexpr int kBacklog = 256;
constexpr size_t kReadBytes = 32 << 10;
constexpr int kPollMs = 5;
constexpr char kStoreIp[] = "127.0.0.1";

std::vector<Gateway*> all_gateways;

sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

int PortOf(int fd, bool is_peer) {
  sockaddr_in address{};
  socklen_t length = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (is_peer)
    ::getpeername(fd, generic, &length);
  else
    ::getsockname(fd, generic, &length);
  return ntohs(address.sin_port);
}

void SetNoDelay(int fd) {
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

std::string QueryValue(const std::string& target, const std::string& name) {
  const size_t query = target.find('?');
  if (query == std::string::npos)
    return {};
  std::istringstream parts(target.substr(query + 1));
  std::string part;
  while (std::getline(parts, part, '&')) {
    if (part.rfind(name + "=", 0) == 0)
      return part.substr(name.size() + 1);
  }
  return {};
}

std::string Answer(int status,
                   const std::string& reason,
                   const std::string& fields,
                   const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

double Now() {
  static const auto kStart = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       kStart)
      .count();
}

void SleepFor(double seconds) {
  if (seconds > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

void SleepUntil(double at) {
  SleepFor(at - Now());
}

void Record::Write(const std::string& line) {
  const std::lock_guard<std::mutex> lock(mutex_);
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f ", Now());
  file_ << time << line << std::endl;
}

std::string Message::Header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? "" : found->second;
}

int Message::status() const {
  if (first_line.rfind("HTTP/", 0) != 0 || first_line.size() < 12)
    return 0;
  return std::atoi(first_line.c_str() + 9);
}

std::string Message::method() const {
  return first_line.substr(0, first_line.find(' '));
}

std::string Message::target() const {
  const size_t begin = first_line.find(' ') + 1;
  return first_line.substr(begin, first_line.find(' ', begin) - begin);
}

Connection::~Connection() {
  ::close(fd_);
}

std::unique_ptr<Connection> Connection::To(const std::string& ip, int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = AddressOf(ip, port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
    ::close(fd);
    return nullptr;
  }
  SetNoDelay(fd);
  return std::make_unique<Connection>(fd);
}

bool Connection::Send(const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0)
      return false;
    sent += static_cast<size_t>(count);
  }
  return true;
}

bool Connection::Fill(double until, size_t most) {
  pollfd wait{.fd = fd_, .events = POLLIN, .revents = 0};
  const double left = std::max(0.0, until - Now());
  if (::poll(&wait, 1, static_cast<int>(left * 1000) + 1) <= 0)
    return false;
  std::string bytes(most, '\0');
  const ssize_t count = ::recv(fd_, bytes.data(), bytes.size(), 0);
  if (count <= 0) {
    is_closed_ = true;
    return false;
  }
  buffer_.append(bytes, 0, static_cast<size_t>(count));
  return true;
}

std::optional<Message> Connection::Read(double timeout_s) {
  ReadOptions options;
  options.timeout_s = timeout_s;
  return Read(options);
}

std::optional<Message> Connection::Read(const ReadOptions& options) {
  const double until = Now() + options.timeout_s;
  size_t end = 0;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill(until, kReadBytes))
      return std::nullopt;
  }
  Message message;
  std::istringstream head(buffer_.substr(0, end));
  buffer_.erase(0, end + 4);
  std::getline(head, message.first_line);
  if (!message.first_line.empty() && message.first_line.back() == '\r')
    message.first_line.pop_back();
  std::string line;
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r')
      line.pop_back();
    const size_t colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
    const size_t begin = line.find_first_not_of(' ', colon + 1);
    message.headers.emplace(
        name, begin == std::string::npos ? "" : line.substr(begin));
  }
  if (options.on_head)
    options.on_head(message);
  if (message.Header("transfer-encoding") == "chunked") {
    while (true) {
      size_t line_end = 0;
      while ((line_end = buffer_.find("\r\n")) == std::string::npos) {
        if (!Fill(until, kReadBytes))
          return std::nullopt;
      }
      const size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
      while (buffer_.size() < line_end + 2 + size + 2) {
        if (!Fill(until, kReadBytes))
          return std::nullopt;
      }
      message.body += buffer_.substr(line_end + 2, size);
      buffer_.erase(0, line_end + 2 + size + 2);
      if (size == 0)
        return message;
    }
  }
  const size_t length =
      std::strtoul(message.Header("content-length").c_str(), nullptr, 10);
  while (buffer_.size() < length) {
    if (!Fill(until, kReadBytes))
      return std::nullopt;
    if (length > options.slow_from)
      SleepFor(options.slow_read_s);
  }
  message.body = buffer_.substr(0, length);
  buffer_.erase(0, length);
  return message;
}

Listener::Listener(const std::string& ip,
                   Handler handler,
                   int receive_buffer_bytes) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer_bytes > 0) {
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
                 sizeof(receive_buffer_bytes));
  }
  const sockaddr_in address = AddressOf(ip, 0);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
      ::listen(fd, kBacklog) != 0) {
    std::cerr << "cannot listen on " << ip << "\n";
    std::exit(static_cast<int>(Outcome::kNotRun));
  }
  fd_ = fd;
  port_ = PortOf(fd, /*is_peer=*/false);
  std::thread([fd, handler = std::move(handler)] {
    while (true) {
      const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0)
        return;
      SetNoDelay(accepted);
      std::thread(handler, std::make_shared<Connection>(accepted)).detach();
    }
  }).detach();
}

void Listener::Close() {
  const int fd = fd_.exchange(-1);
  // Ends the accept() of the thread.
  ::shutdown(fd, SHUT_RDWR);
  ::close(fd);
}

Store::Store()
    : listener_(std::make_unique<Listener>(
          kStoreIp,
          [this](const std::shared_ptr<Connection>& connection) {
            Serve(connection.get());
          })) {}

double Store::Put(const std::string& kind,
                  const std::string& name,
                  const std::string& spec) {
  const std::lock_guard<std::mutex> lock(mutex_);
  objects_[kind][name] = {.spec = spec, .revision = ++revision_};
  changed_.notify_all();
  return Now();
}

double Store::Remove(const std::string& kind, const std::string& name) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Object& object = objects_[kind][name];
  object.deleted = true;
  object.revision = ++revision_;
  changed_.notify_all();
  return Now();
}

std::vector<int> Store::Watching(const std::string& kind) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<int> ports;
  const auto [begin, end] = watching_.equal_range(kind);
  for (auto entry = begin; entry != end; ++entry)
    ports.push_back(entry->second);
  return ports;
}

std::string Store::Json(const std::string& name, const Object& object) {
  return R"({"metadata":{"name":")" + name + R"(","revision":)" +
         std::to_string(object.revision) + R"(},"spec":)" + object.spec + "}";
}

std::string Store::List(const std::string& kind) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::string items;
  for (const auto& [name, object] : objects_[kind]) {
    if (!object.deleted)
      items += (items.empty() ? "" : ",") + Json(name, object);
  }
  return R"({"items":[)" + items + R"(],"has-more":false,"current-rev":)" +
         std::to_string(revision_) + "}";
}

std::string Store::Watch(const std::string& kind, uint64_t from, int wait_ms) {
  std::unique_lock<std::mutex> lock(mutex_);
  const auto has_changed = [&] {
    return std::any_of(
        objects_[kind].begin(), objects_[kind].end(),
        [from](const auto& entry) { return entry.second.revision > from; });
  };
  changed_.wait_for(lock, std::chrono::milliseconds(wait_ms), has_changed);
  std::map<uint64_t, std::string> events;
  for (const auto& [name, object] : objects_[kind]) {
    if (object.revision > from) {
      events[object.revision] = R"({"object":)" + Json(name, object) +
                                R"(,"deleted":)" +
                                (object.deleted ? "true}" : "false}");
    }
  }
  std::string joined;
  for (const auto& [revision, event] : events)
    joined += (joined.empty() ? "" : ",") + event;
  return R"({"events":[)" + joined + R"(],"current-rev":)" +
         std::to_string(revision_) + "}";
}

void Store::Serve(Connection* connection) {
  constexpr double kIdle = 600;
  const int port = PortOf(connection->fd(), /*is_peer=*/true);
  while (const auto request = connection->Read(kIdle)) {
    const std::string target = request->target();
    const std::string kind = target.substr(
        sizeof("/objects/") - 1, target.find('?') - (sizeof("/objects/") - 1));
    const std::string from = QueryValue(target, "watch");
    std::string body;
    if (from.empty()) {
      body = List(kind);
    } else {
      std::multimap<std::string, int>::iterator entry;
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        entry = watching_.emplace(kind, port);
      }
      body = Watch(kind, std::stoull(from),
                   std::atoi(QueryValue(target, "wait-ms").c_str()));
      const std::lock_guard<std::mutex> lock(mutex_);
      watching_.erase(entry);
    }
    if (!connection->Send(
            Answer(200, "OK", "Content-Type: application/json\r\n", body)))
      return;
  }
}

Link::Link(int target_port)
    : target_port_(target_port),
      listener_(std::make_unique<Listener>(
          kStoreIp,
          [this](const std::shared_ptr<Connection>& near) {
            if (IsCut()) {
              SleepUntil(cut_until_);
              return;
            }
            const std::shared_ptr<Connection> far =
                Connection::To(kStoreIp, target_port_);
            if (!far)
              return;
            {
              const std::lock_guard<std::mutex> lock(mutex_);
              ports_.push_back(PortOf(far->fd(), /*is_peer=*/false));
            }
            std::thread back(
                [this, near, far] { Pump(far.get(), near.get()); });
            Pump(near.get(), far.get());
            back.join();
          })) {}

void Link::Cut(double seconds) {
  reset_at_ = Now() + kProbeTime;
  cut_until_ = Now() + seconds;
}

bool Link::Owns(int port) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::find(ports_.begin(), ports_.end(), port) != ports_.end();
}

void Link::Pump(const Connection* from, const Connection* to) {
  std::string bytes(kReadBytes, '\0');
  while (true) {
    pollfd wait{.fd = from->fd(), .events = POLLIN, .revents = 0};
    const bool is_ready = ::poll(&wait, 1, kPollMs) > 0;
    if (IsCut()) {
      SleepUntil(reset_at_);
      const linger reset{.l_onoff = 1, .l_linger = 0};
      for (const Connection* end : {from, to}) {
        ::setsockopt(end->fd(), SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        ::shutdown(end->fd(), SHUT_RDWR);
      }
      return;
    }
    if (!is_ready)
      continue;
    const ssize_t count = ::recv(from->fd(), bytes.data(), bytes.size(), 0);
    if (count <= 0 || ::send(to->fd(), bytes.data(), static_cast<size_t>(count),
                             MSG_NOSIGNAL) != count) {
      ::shutdown(to->fd(), SHUT_RDWR);
      ::shutdown(from->fd(), SHUT_RDWR);
      return;
    }
  }
}

Worker::Worker(Options options, Arrived arrived)
    : options_(std::move(options)), arrived_(std::move(arrived)) {
  constexpr int kSmallBuffer = 64 << 10;
  listener_ = std::make_unique<Listener>(
      kStoreIp,
      [this](const std::shared_ptr<Connection>& connection) {
        {
          const std::lock_guard<std::mutex> lock(mutex_);
          connections_.push_back(connection);
        }
        Serve(connection.get());
        ::shutdown(connection->fd(), SHUT_RDWR);
      },
      options_.slow_read_s > 0 ? kSmallBuffer : 0);
}

void Worker::Crash() {
  if (has_crashed_.exchange(true))
    return;
  listener_->Close();
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const std::shared_ptr<Connection>& connection : connections_)
    ::shutdown(connection->fd(), SHUT_RDWR);
}

std::string Worker::Entry(const std::string& service, int slots) const {
  return R"({"service":")" + service + R"(","address":")" + kStoreIp + ":" +
         std::to_string(port()) +
         R"(","zone":"zone-a","version":"v1","slots":)" +
         std::to_string(slots) +
         R"(,"state":"ready","cold-remaining-ms":0,"sequence":1,"born":1})";
}

void Worker::Serve(Connection* connection) {
  constexpr double kIdle = 20;
  constexpr size_t kLargeBody = 100 << 10;
  const Connection::ReadOptions options{.timeout_s = kIdle,
                                        .slow_read_s = options_.slow_read_s,
                                        .slow_from = kLargeBody,
                                        .on_head = options_.on_head};
  while (const auto request = connection->Read(options)) {
    const std::string id = request->Header("request-id");
    const std::string expected = request->Header("expect-instance");
    const std::string echo = "Request-Id: " + id + "\r\n";
    if (!expected.empty() && expected != options_.id) {
      if (!connection->Send(Answer(421, "Misdirected Request",
                                   echo + "Not-Executed: 1\r\n", "")))
        return;
      continue;
    }
    arrived_(options_.id, *request);
    SleepFor(options_.work_s);
    if (has_crashed_)
      return;
    const std::string fields = echo + "Response-Stamp: " + options_.id + "." +
                               id + "\r\nKeep-Alive: timeout=20\r\n" +
                               (options_.fields ? options_.fields() : "");
    if (!connection->Send(Answer(200, "OK", fields, options_.id)))
      return;
  }
}

int FreePort(const std::string& ip) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = AddressOf(ip, 0);
  ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  const int port = PortOf(fd, /*is_peer=*/false);
  ::close(fd);
  return port;
}

Gateway::Gateway(const Options& options) : options_(options) {
  all_gateways.push_back(this);
  frontend_port_ = FreePort(options.ip);
  ready_port_ = FreePort(options.ip);
  const std::string base = options.folder + "/" + options.name;
  std::ofstream settings(base + ".yaml");
  std::string seeds;
  for (const std::string& seed : options.seeds)
    seeds += (seeds.empty() ? "\"" : ",\"") + seed + "\"";
  const auto at = [&](int port) {
    return "\"" + options.ip + ":" + std::to_string(port) + "\"\n";
  };
  settings << "settings:\n"
           << "  instance: \"" << options.name << "\"\n"
           << "  data_centre: \"zone-a\"\n"
           << "  callers_listen: " << at(frontend_port_)
           << "  ready_listen: " << at(ready_port_)
           << "  operators_listen: " << at(0)
           << "  metrics_listen: " << at(FreePort(options.ip))
           << "  peers_listen: " << at(options.peers_port) << "  seeds: ["
           << seeds << "]\n"
           << "  store: \"" << kStoreIp << ":" << options.store_port << "\"\n"
           << "  max_descriptors: 2870\n"
           << "  apply_within: \"2000ms\"\n"
           << "  drain_within: \"2000ms\"\n"
           << "  stop_within: \"8s\"\n"
           << "  retry_ratio: 0.2\n"
           << "  retry_slack: 236\n"
           << "  retry_window: \"10s\"\n"
           << "  region: \"region-a\"\n"
           << "  data_centres: [\"zone-a=region-a\"]\n"
           << "  memory_mb: " << options.memory_mb << "\n"
           << "  admission_control: true\n";
  settings.close();
  const std::string log = base + ".log";
  std::string boot = "CHICORYTHREAD_BOOT=" + base + ".yaml";
  std::string program = "target/chicory_gateway";
  char* const arguments[] = {program.data(), nullptr};
  char* const environment[] = {boot.data(), nullptr};
  const pid_t pid = ::fork();
  pid_ = pid;
  if (pid != 0)
    return;
  // Only calls that are safe after a fork of a process with threads.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int out =
      ::open(log.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, 0600);
  ::dup2(out, STDOUT_FILENO);
  ::dup2(out, STDERR_FILENO);
  ::execve(arguments[0], arguments, environment);
  ::_exit(static_cast<int>(Outcome::kNotRun));
}

Gateway::~Gateway() {
  Kill();
  std::erase(all_gateways, this);
}

void Gateway::KillAll() {
  for (Gateway* gateway : all_gateways)
    gateway->Kill();
}

bool Gateway::IsReady() const {
  const auto connection = Connection::To(options_.ip, ready_port_);
  if (!connection ||
      !connection->Send("GET /ready HTTP/1.1\r\nHost: r\r\n\r\n"))
    return false;
  const auto answer = connection->Read(1);
  return answer && answer->status() == 200;
}

bool Gateway::WaitUntilReady(double seconds) const {
  const double until = Now() + seconds;
  while (Now() < until) {
    if (IsReady())
      return true;
    SleepFor(0.05);
  }
  return false;
}

double Gateway::MemoryMb() const {
  std::ifstream file("/proc/" + std::to_string(pid_.load()) + "/statm");
  double size = 0;
  double resident = 0;
  file >> size >> resident;
  return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / (1 << 20);
}

bool Gateway::IsRunning() {
  if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_)
    pid_ = -1;
  return pid_ > 0;
}

void Gateway::Kill() {
  if (!IsRunning())
    return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
  pid_ = -1;
}

Case::Case() {
  Now();
  folder_ = std::filesystem::temp_directory_path() / "case-XXXXXX";
  const char* const path = std::getenv("RECORD");
  const char* const trouble = std::getenv("TROUBLE");
  if (!path || !::mkdtemp(folder_.data()))
    std::_Exit(static_cast<int>(Outcome::kNotRun));
  record_ = std::make_unique<Record>(path);
  is_disrupted_ = !trouble || std::strcmp(trouble, "0") != 0;
  record_->Write(is_disrupted_ ? "with the disruption"
                               : "without the disruption");
}

void Case::End(Outcome outcome) {
  Gateway::KillAll();
  record_->Write("outcome " + std::to_string(static_cast<int>(outcome)));
  if (!std::getenv("KEEP"))
    std::filesystem::remove_all(folder_);
  std::_Exit(static_cast<int>(outcome));
}

}  // namespace review
