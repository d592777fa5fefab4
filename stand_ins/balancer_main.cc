#include <arpa/inet.h>
#include <httplib.h>
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
#include "programs/program.h"

namespace chicory {
namespace {

constexpr absl::Duration kReadinessPeriod = absl::Milliseconds(200);
constexpr int kBacklog = 1024;

SectionRule SettingsRule() {
  using Type = ValueType;
  SectionRule rule{"settings", false, "Settings of the balancer stand-in.",
                   CommonSettings()};
  rule.keys.push_back({"listen", Type::kText, "", false, "127.0.0.1:0", 1, 64,
                       "", "Address, ip:port."});
  rule.keys.push_back({"entries", Type::kTextList, "", true, "", 1, 64, "",
                       "Instances, each CALLERS@OPERATORS."});
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

/** Copies bytes both ways until either side ends. */
void Splice(int caller, int entry) {
  std::array<char, 16384> buffer{};
  pollfd sides[2] = {{.fd = caller, .events = POLLIN, .revents = 0},
                     {.fd = entry, .events = POLLIN, .revents = 0}};
  while (::poll(sides, 2, -1) > 0) {
    for (int i = 0; i < 2; ++i) {
      if (sides[i].revents == 0)
        continue;
      const ssize_t got = ::recv(sides[i].fd, buffer.data(), buffer.size(), 0);
      if (got <= 0)
        return;
      for (ssize_t sent = 0; sent < got;) {
        const ssize_t part =
            ::send(sides[1 - i].fd, buffer.data() + sent,
                   static_cast<size_t>(got - sent), MSG_NOSIGNAL);
        if (part <= 0)
          return;
        sent += part;
      }
    }
  }
}

/** Spreads connections over the entry instances that are ready. */
class Balancer {
 public:
  explicit Balancer(const std::vector<std::string>& entries) {
    for (const std::string& entry : entries) {
      const std::vector<std::string> parts = absl::StrSplit(entry, '@');
      if (parts.size() == 2)
        entries_.push_back({.callers = parts[0], .operators = parts[1]});
    }
  }

  /** The bound port; 0 when the address cannot be had. */
  int Start(const std::string& listen) {
    sockaddr_in address{};
    if (!ParseAddress(listen, &address))
      return 0;
    socket_ = ::socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    ::setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (::bind(socket_, reinterpret_cast<sockaddr*>(&address),
               sizeof(address)) != 0 ||
        ::listen(socket_, kBacklog) != 0) {
      return 0;
    }
    socklen_t length = sizeof(address);
    ::getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &length);
    CheckReadiness();
    std::thread([this] {
      while (true) {
        absl::SleepFor(kReadinessPeriod);
        CheckReadiness();
      }
    }).detach();
    std::thread([this] { Accept(); }).detach();
    return ntohs(address.sin_port);
  }

 private:
  struct EntryRow {
    std::string callers;
    std::string operators;
    bool is_ready = false;
  };

  void CheckReadiness() {
    for (EntryRow& entry : entries_) {
      httplib::Client client("http://" + entry.operators);
      client.set_connection_timeout(std::chrono::milliseconds(200));
      client.set_read_timeout(std::chrono::milliseconds(200));
      const auto result = client.Get("/ready");
      absl::MutexLock lock(&mutex_);
      entry.is_ready = result && result->status == 200;
    }
  }

  std::string Next() {
    absl::MutexLock lock(&mutex_);
    for (size_t i = 0; i < entries_.size(); ++i) {
      const EntryRow& entry = entries_[next_++ % entries_.size()];
      if (entry.is_ready)
        return entry.callers;
    }
    return "";
  }

  void Accept() {
    while (true) {
      const int caller = ::accept(socket_, nullptr, nullptr);
      if (caller < 0)
        continue;
      std::thread([this, caller] { Serve(caller); }).detach();
    }
  }

  void Serve(int caller) {
    sockaddr_in address{};
    const int entry = ::socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    ::setsockopt(caller, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    ::setsockopt(entry, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (ParseAddress(Next(), &address) &&
        ::connect(entry, reinterpret_cast<sockaddr*>(&address),
                  sizeof(address)) == 0) {
      Splice(caller, entry);
    }
    ::close(entry);
    ::close(caller);
  }

  int socket_ = -1;
  absl::Mutex mutex_;
  std::vector<EntryRow> entries_;
  size_t next_ = 0;
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
    std::cerr << "cannot bind " << settings->text("listen") << "\n";
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
