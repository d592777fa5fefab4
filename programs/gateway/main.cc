#include <sys/stat.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <random>

#include "modules/config/settings.h"
#include "modules/net/loop_time.h"
#include "modules/net/run_loop.h"
#include "platform/header_codec.h"
#include "platform/platform_source.h"
#include "platform/settings_path.h"
#include "programs/gateway/gateway_settings.h"
#include "programs/program.h"

namespace chicory {
namespace {

/** How often the settings file is checked for changes made without a signal. */
constexpr std::chrono::seconds kSettingsPollInterval(2);
/** Longest time that a watch request waits for changes at the store; also as a
    fraction of the time in which a change must be known everywhere. */
constexpr absl::Duration kMaxWatchWait = absl::Seconds(3);
constexpr double kWatchWaitFraction = 0.6;
/** Fraction of that time after which an instance that watches the store counts
    it as lost if it is silent. */
constexpr double kMaxSilenceFraction = 0.8;
/** Fraction of that time after which an instance watches the store because no
    other knows it to be up to date. The rest is for reading a change. */
constexpr double kMaxSourceAgeFraction = 0.7;
/** Fraction of `apply_within` between two refreshes from the store that are
    caused by newer data at other instances. */
constexpr double kRefreshIntervalFraction = 0.25;
/** Fractions of `apply_within` and `drain_within` for which the next watch
    request is delayed after a change, so that changes arrive in batches. */
constexpr double kConfigurationGatherFraction = 0.3;
constexpr double kUpstreamGatherFraction = 0.4;

/** Fraction of `evacuate_within` after which a watch of the evacuated data
    centres that the store has lost is repeated. The rest is for a late response
    to it and for spreading the change. */
constexpr double kEvacuationWatchFraction = 0.4;
/** A shorter `evacuate_within` causes no more calls to the store than this. */
constexpr absl::Duration kMinEvacuationBound = absl::Seconds(1);

/** Returns the time within which an evacuation must be known everywhere; zero
   if data centres are not evacuated. */
absl::Duration EvacuationBound(const GatewaySettings& settings) {
  const absl::Duration within = settings.gateway.evacuate_within;
  return within > absl::ZeroDuration() ? std::max(within, kMinEvacuationBound)
                                       : within;
}

/** Returns the time in which a change at the store must be known everywhere. */
absl::Duration ChangeBound(const GatewaySettings& settings) {
  const absl::Duration evacuate_within = EvacuationBound(settings);
  const absl::Duration within =
      std::min(settings.apply_within, settings.drain_within);
  return evacuate_within > absl::ZeroDuration()
             ? std::min(within, evacuate_within)
             : within;
}

std::optional<GatewaySettings> LoadSettings(
    const std::string& path,
    const std::vector<std::string>& overrides,
    Findings* findings) {
  const auto row =
      Settings::Load(GatewaySettingsRule(), path, overrides, findings);
  if (!row)
    return std::nullopt;
  return ReadGatewaySettings(*row, path, findings);
}

/** Returns a random first sequence number, so that it differs between starts of
    an instance. */
uint64_t FirstSequence() {
  std::random_device random;
  return (static_cast<uint64_t>(random()) << 24) + 1;
}

/** Stops a running gateway on SIGTERM or SIGINT, and reloads its settings on
    SIGHUP or when the settings file changes. Only the seeds are applied. */
class Supervisor {
 public:
  Supervisor(boost::asio::io_context& loop,
             std::string path,
             std::vector<std::string> overrides,
             EventLog& log,
             Gateway* gateway)
      : loop_(loop),
        path_(std::move(path)),
        overrides_(std::move(overrides)),
        log_(log),
        gateway_(gateway),
        stop_signals_(loop, SIGTERM, SIGINT),
        reload_signals_(loop, SIGHUP),
        poll_(loop) {}

  void Start() {
    modification_time_ = ModificationTime();
    stop_signals_.async_wait(
        [this](const boost::system::error_code& error, int) {
          if (!error)
            gateway_->BeginStop([this] { loop_.stop(); });
        });
    AwaitReload();
    AwaitPoll();
  }

 private:
  /** Returns the time of the file's last modification in nanoseconds; 0 if
      there is no file. */
  int64_t ModificationTime() const {
    struct stat status {};
    if (::stat(path_.c_str(), &status) != 0)
      return 0;
    return status.st_mtim.tv_sec * 1'000'000'000LL + status.st_mtim.tv_nsec;
  }

  void AwaitReload() {
    reload_signals_.async_wait(
        [this](const boost::system::error_code& error, int) {
          if (error)
            return;
          AwaitReload();
          Reload("signal");
        });
  }

  void AwaitPoll() {
    poll_.expires_after(kSettingsPollInterval);
    poll_.async_wait([this](const boost::system::error_code& error) {
      if (error)
        return;
      AwaitPoll();
      if (ModificationTime() != modification_time_)
        Reload("file");
    });
  }

  void Reload(const char* cause) {
    modification_time_ = ModificationTime();
    Findings findings;
    const auto settings = LoadSettings(path_, overrides_, &findings);
    log_.Write("settings_reloaded", {{"cause", cause},
                                     {"used", settings ? 1 : 0},
                                     {"findings", findings.Sorted().size()}});
    if (settings)
      gateway_->SetSeeds(settings->gateway.seeds);
  }

  boost::asio::io_context& loop_;
  const std::string path_;
  const std::vector<std::string> overrides_;
  EventLog& log_;
  Gateway* gateway_;
  boost::asio::signal_set stop_signals_;
  boost::asio::signal_set reload_signals_;
  boost::asio::steady_timer poll_;
  int64_t modification_time_ = 0;
};

int Serve(GatewaySettings settings,
          const std::string& path,
          const std::vector<std::string>& overrides) {
  boost::asio::io_context loop(1);
  EventLog log({.detail = settings.log_detail});
  const HeaderCodec codec;
  PlatformSource source(
      loop,
      {.store = settings.store,
       .configuration_batch_delay =
           settings.apply_within * kConfigurationGatherFraction,
       .upstreams_batch_delay = settings.drain_within * kUpstreamGatherFraction,
       .max_watch_wait =
           std::min(kMaxWatchWait, ChangeBound(settings) * kWatchWaitFraction),
       .evacuations_watch_wait =
           std::min(kMaxWatchWait,
                    EvacuationBound(settings) * kEvacuationWatchFraction)});
  settings.gateway.first_sequence = FirstSequence();
  settings.gateway.max_source_age =
      ChangeBound(settings) * kMaxSourceAgeFraction;
  settings.gateway.max_source_silence =
      ChangeBound(settings) * kMaxSilenceFraction;
  settings.gateway.refresh_interval =
      settings.apply_within * kRefreshIntervalFraction;
  Gateway gateway(loop, settings.gateway, codec, log, &source);
  Supervisor supervisor(loop, path, overrides, log, &gateway);
  supervisor.Start();
  const auto started = Capture([&] { return gateway.Start(); });
  if (!started.ok) {
    log.Write("start_failed", {{"reason", started.error.message}});
    std::cerr << "chicory_gateway: " << started.error.message << "\n";
    return static_cast<int>(ExitCode::kUnavailable);
  }
  log.Write("started", {{"instance", settings.gateway.instance},
                        {"data_centre", settings.data_centre},
                        {"version", kVersion},
                        {"callers_port", gateway.callers_port()},
                        {"ready_port", gateway.ready_port()},
                        {"operators_port", gateway.operators_port()}});
  const auto address = [](Endpoint listen, uint16_t port) {
    return EndpointText({.ip = listen.ip, .port = port});
  };
  PrintListening(
      {{"callers", address(settings.gateway.callers, gateway.callers_port())},
       {"ready", address(settings.gateway.ready, gateway.ready_port())},
       {"operators",
        address(settings.gateway.operators, gateway.operators_port())}});
  RunLoop(loop, [&gateway](const std::exception& error) {
    gateway.OnCallbackFailed(error);
  });
  return static_cast<int>(ExitCode::kOk);
}

int Run(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  ReturnLargeBlocks();
  cxxopts::Options options(
      "chicory_gateway",
      "Forwards callers' requests to model engines and plain services.");
  std::string path;
  std::vector<std::string> overrides;
  bool prints_keys = false;
  bool only_checks = false;
  options.add_options()("keys", "Print the settings' keys",
                        cxxopts::value(prints_keys))(
      "check", "Check the settings and exit", cxxopts::value(only_checks))(
      "config", "Settings file; the platform's by default",
      cxxopts::value(path))("set", "A setting, key=value; may be repeated",
                            cxxopts::value(overrides));
  if (const auto code =
          ParseCommandLine(&options, "chicory_gateway", argc, argv))
    return *code;
  if (prints_keys) {
    std::cout << SchemaChecker::ToMarkdown({GatewaySettingsRule()});
    return static_cast<int>(ExitCode::kOk);
  }
  if (path.empty())
    path = PlatformSettingsPath();
  Findings findings;
  auto settings = LoadSettings(path, overrides, &findings);
  if (!settings) {
    std::cerr << findings.ToText();
    return static_cast<int>(ExitCode::kUsage);
  }
  if (only_checks)
    return static_cast<int>(ExitCode::kOk);
  return Serve(*std::move(settings), path, overrides);
}

}  // namespace
}  // namespace chicory

int main(int argc, char** argv) {
  return chicory::Run(argc, argv);
}
