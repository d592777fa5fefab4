#include "review/stand_ins/gateway_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <map>
#include <random>
#include <sstream>
#include <utility>

namespace review {

namespace {

constexpr char kDeployFile[] = "deploy/system.toml";
constexpr char kTemplate[] = "deploy/gateway.yaml.template";

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/** Returns the program of the only role in the deploy file. */
std::string RunCommand() {
  std::istringstream lines(ReadFile(kDeployFile));
  const std::string key = "run = \"";
  std::string line;
  while (std::getline(lines, line)) {
    if (line.compare(0, key.size(), key) == 0)
      return line.substr(key.size(), line.rfind('"') - key.size());
  }
  return "";
}

std::string Quoted(const std::string& text) {
  return "\"" + text + "\"";
}

/** Fills the placeholders of a template from `values`, which are JSON. */
std::string Fill(const std::string& text,
                 const std::map<std::string, std::string>& values) {
  std::string filled;
  size_t at = 0;
  while (true) {
    const size_t open = text.find("{{", at);
    filled += text.substr(at, open - at);
    if (open == std::string::npos)
      return filled;
    const size_t close = text.find("}}", open);
    std::string name = text.substr(open + 2, close - open - 2);
    const size_t bar = name.find("|json");
    const bool as_json = bar != std::string::npos;
    name = name.substr(0, bar);
    const auto found = values.find(name);
    std::string value = found == values.end() ? "" : found->second;
    if (!as_json && value.size() >= 2 && value.front() == '"')
      value = value.substr(1, value.size() - 2);
    filled += value;
    at = close + 2;
  }
}

}  // namespace

GatewayProcess::GatewayProcess(Options options, Record* record)
    : options_(std::move(options)), record_(record) {}

GatewayProcess::~GatewayProcess() {
  if (pid_ <= 0)
    return;
  ::kill(pid_, SIGCONT);
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
}

bool GatewayProcess::WriteSettings(const std::string& path) const {
  const auto endpoint = [this](uint16_t port) {
    return Quoted(Address{.ip = options_.ip, .port = port}.Text());
  };
  std::string seeds;
  for (const std::string& ip : options_.seed_ips) {
    seeds += (seeds.empty() ? "" : ",") +
             Quoted(Address{.ip = ip, .port = options_.ports.control}.Text());
  }
  // The bounds and limits of the small deployments.
  const std::map<std::string, std::string> values = {
      {"node-name", Quoted(options_.name)},
      {"zone", Quoted("ajloun-a")},
      {"ip", Quoted(options_.ip)},
      {"listen.frontend", endpoint(options_.ports.frontend)},
      {"listen.ready", endpoint(options_.ports.ready)},
      {"listen.control-plane", endpoint(options_.ports.control)},
      {"internal-ports.0", std::to_string(options_.ports.internal)},
      {"seeds", "[" + seeds + "]"},
      {"platform.address", Quoted(options_.store)},
      {"limits.max-fds", "2870"},
      {"bounds.config-apply-ms", "2000"},
      {"bounds.drain-ms", "2000"},
      {"bounds.grace-s", "8"},
      {"bounds.retry-budget-ratio", "0.2"},
      {"bounds.retry-budget-slack", "236"},
      {"bounds.budget-window-s", "10"}};
  std::ofstream file(path);
  file << Fill(ReadFile(kTemplate), values);
  return file.good();
}

bool GatewayProcess::Start() {
  const std::string settings = options_.folder + "/" + options_.name + ".yaml";
  const std::string log = options_.folder + "/" + options_.name + ".log";
  const std::string command = RunCommand();
  if (!WriteSettings(settings) || command.empty() ||
      ::access(command.c_str(), X_OK) != 0)
    return false;
  const std::string boot = "CHICORYTHREAD_BOOT=" + settings;
  const std::string path = "PATH=/usr/bin:/bin";
  const pid_t parent = ::getpid();
  pid_ = ::fork();
  if (pid_ < 0)
    return false;
  if (pid_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent)
      ::_exit(1);
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    char* const arguments[] = {const_cast<char*>(command.c_str()), nullptr};
    char* const environment[] = {const_cast<char*>(boot.c_str()),
                                 const_cast<char*>(path.c_str()), nullptr};
    ::execve(command.c_str(), arguments, environment);
    ::_exit(1);
  }
  record_->Add("gateway " + options_.name + ": started");
  return true;
}

void GatewayProcess::Signal(int signal) {
  record_->Add("gateway " + options_.name + ": signal " +
               std::to_string(signal));
  if (pid_ > 0)
    ::kill(pid_, signal);
}

std::optional<std::string> GatewayProcess::TakeEnd() {
  if (pid_ <= 0)
    return std::nullopt;
  int status = 0;
  if (::waitpid(pid_, &status, WNOHANG) != pid_)
    return std::nullopt;
  pid_ = -1;
  const std::string how = WIFSIGNALED(status)
                              ? "signal " + std::to_string(WTERMSIG(status))
                              : "exit " + std::to_string(WEXITSTATUS(status));
  record_->Add("gateway " + options_.name + ": ended by " + how);
  return how;
}

bool GatewayProcess::IsReady() const {
  constexpr Milliseconds kTimeout(500);
  const auto connection = Connection::Open(
      {.ip = options_.ip, .port = options_.ports.ready}, kTimeout);
  if (!connection ||
      !connection->Write("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n"))
    return false;
  const Response response = connection->ReadResponse(Clock::now() + kTimeout);
  return response.end == End::kComplete && response.status == 200;
}

std::vector<std::string> FleetIps(size_t count) {
  std::random_device random;
  std::uniform_int_distribution<int> part(1, 254);
  const std::string prefix = "127." + std::to_string(part(random)) + "." +
                             std::to_string(part(random)) + ".";
  std::vector<std::string> ips;
  for (size_t i = 0; i < count; ++i)
    ips.push_back(prefix + std::to_string(i + 11));
  return ips;
}

FleetPorts FreeFleetPorts(const std::vector<std::string>& ips) {
  return {.frontend = FreePort(ips),
          .ready = FreePort(ips),
          .control = FreePort(ips),
          .internal = FreePort(ips)};
}

bool AwaitReady(const std::vector<GatewayProcess*>& gateways,
                Milliseconds timeout) {
  const Clock::time_point until = Clock::now() + timeout;
  while (Clock::now() < until) {
    if (std::all_of(gateways.begin(), gateways.end(),
                    [](const auto* gateway) { return gateway->IsReady(); }))
      return true;
    std::this_thread::sleep_for(Milliseconds(50));
  }
  return false;
}

}  // namespace review
