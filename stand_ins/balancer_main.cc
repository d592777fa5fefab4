#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "modules/calls/calls.h"
#include "programs/program.h"

namespace chicory {
namespace {

constexpr absl::Duration kReadinessPeriod = absl::Milliseconds(200);
constexpr int kBacklog = 1024;

SectionRule SettingsRule() {
  using Type = ValueType;
  SectionRule rule{"settings", false, "Settings of the stand-in balancer.",
                   CommonSettings()};
  rule.keys.push_back({"listen", Type::kText, "", false, "127.0.0.1:0", 1, 64,
                       "", "Address to listen on, ip:port."});
  rule.keys.push_back(
      {"entries", Type::kTextList, "", true, "", 1, 64, "",
       "Entry instances, each CALLER_ADDRESS@OPERATOR_ADDRESS."});
  return rule;
}

bool ParseAddress(const std::string& text, sockaddr_in* address) {
  const std::vector<std::string> parts = absl::StrSplit(text, ':');
  int port = 0;
  if (parts.size() != 2 || !absl::SimpleAtoi(parts[1], &port))
    return false;
  *address = {};
  address->sin_family = AF_INET;
  address->sin_port = htons(static_cast<uint16_t>(port));
  return ::inet_pton(AF_INET, parts[0].c_str(), &address->sin_addr) == 1;
}

/** Copies bytes in both directions until either connection ends. */
void RelayBytes(int caller, int entry) {
  std::array<char, 16384> buffer{};
  pollfd sockets[2] = {{.fd = caller, .events = POLLIN, .revents = 0},
                       {.fd = entry, .events = POLLIN, .revents = 0}};
  while (::poll(sockets, 2, -1) > 0) {
    for (int i = 0; i < 2; ++i) {
      if (sockets[i].revents == 0)
        continue;
      const ssize_t received =
          ::recv(sockets[i].fd, buffer.data(), buffer.size(), 0);
      if (received <= 0)
        return;
      for (ssize_t sent = 0; sent < received;) {
        const ssize_t written =
            ::send(sockets[1 - i].fd, buffer.data() + sent,
                   static_cast<size_t>(received - sent), MSG_NOSIGNAL);
        if (written <= 0)
          return;
        sent += written;
      }
    }
  }
}

/** A TCP load balancer: distributes connections round-robin over the entry
    instances that report ready. Each connection has a thread. */
class Balancer {
 public:
  explicit Balancer(const std::vector<std::string>& entries) {
    for (const std::string& entry : entries) {
      const std::vector<std::string> parts = absl::StrSplit(entry, '@');
      if (parts.size() == 2)
        entries_.push_back(
            {.caller_address = parts[0], .operator_address = parts[1]});
    }
  }

  /** Binds `listen` and starts to serve. Returns the bound port, or 0 if the
      address cannot be bound. */
  int Start(const std::string& listen) {
    sockaddr_in address{};
    if (!ParseAddress(listen, &address))
      return 0;
    listening_socket_ = ::socket(AF_INET, SOCK_STREAM, 0);
    const int enabled = 1;
    ::setsockopt(listening_socket_, SOL_SOCKET, SO_REUSEADDR, &enabled,
                 sizeof(enabled));
    if (::bind(listening_socket_, reinterpret_cast<sockaddr*>(&address),
               sizeof(address)) != 0 ||
        ::listen(listening_socket_, kBacklog) != 0) {
      return 0;
    }
    socklen_t length = sizeof(address);
    ::getsockname(listening_socket_, reinterpret_cast<sockaddr*>(&address),
                  &length);
    CheckReadiness();
    std::thread([this] {
      while (true) {
        absl::SleepFor(kReadinessPeriod);
        CheckReadiness();
      }
    }).detach();
    std::thread([this] { AcceptConnections(); }).detach();
    return ntohs(address.sin_port);
  }

 private:
  struct EntryInstance {
    std::string caller_address;
    std::string operator_address;
    bool is_ready = false;
  };

  void CheckReadiness() {
    for (EntryInstance& entry : entries_) {
      CheckedHttpClient client(entry.operator_address);
      client.set_connection_timeout(std::chrono::milliseconds(200));
      client.set_read_timeout(std::chrono::milliseconds(200));
      const auto result = client.Get("/ready");
      absl::MutexLock lock(&mutex_);
      entry.is_ready = result && result->status == 200;
    }
  }

  /** Returns the caller address of the next ready instance, or an empty string
      if none is ready. */
  std::string NextReadyAddress() {
    absl::MutexLock lock(&mutex_);
    for (size_t i = 0; i < entries_.size(); ++i) {
      const EntryInstance& entry = entries_[next_index_++ % entries_.size()];
      if (entry.is_ready)
        return entry.caller_address;
    }
    return "";
  }

  void AcceptConnections() {
    while (true) {
      const int caller = ::accept(listening_socket_, nullptr, nullptr);
      if (caller < 0)
        continue;
      std::thread([this, caller] { RelayConnection(caller); }).detach();
    }
  }

  void RelayConnection(int caller) {
    sockaddr_in address{};
    const int entry = ::socket(AF_INET, SOCK_STREAM, 0);
    const int enabled = 1;
    ::setsockopt(caller, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    ::setsockopt(entry, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    if (ParseAddress(NextReadyAddress(), &address) &&
        ::connect(entry, reinterpret_cast<sockaddr*>(&address),
                  sizeof(address)) == 0) {
      RelayBytes(caller, entry);
    }
    ::close(entry);
    ::close(caller);
  }

  int listening_socket_ = -1;
  absl::Mutex mutex_;
  std::vector<EntryInstance> entries_;
  size_t next_index_ = 0;
};

int Run(int argc, char** argv) {
  BlockStopSignals();
  int exit_code = 0;
  const auto settings = StartProgram(argc, argv, "stand_in_balancer",
                                     "Stands in for the platform's balancer.",
                                     SettingsRule(), &exit_code);
  if (!settings)
    return exit_code;
  static Balancer balancer(settings->text_list("entries"));
  const int port = balancer.Start(settings->text("listen"));
  if (port == 0) {
    std::cerr << "cannot bind to " << settings->text("listen") << "\n";
    return static_cast<int>(ExitCode::kUnavailable);
  }
  PrintListening({{"balancer", absl::StrCat("127.0.0.1:", port)}});
  WaitForStopSignal();
  ::_exit(0);
}

}  // namespace
}  // namespace chicory

int main(int argc, char** argv) {
  return chicory::Run(argc, argv);
}
