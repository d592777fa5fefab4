#ifndef STAND_INS_PLATFORM_UPSTREAM_H_
#define STAND_INS_PLATFORM_UPSTREAM_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "modules/net/http_server.h"
#include "stand_ins/cold_check.h"
#include "stand_ins/request_limit_check.h"

namespace chicory {

/** How a stand-in upstream of the platform treats requests. */
enum class UpstreamMode {
  kOk,
  /** Refuses with 503 and `Not-Executed`, which promises that the request was
      not executed. */
  kFull,
  /** Executes the request, then responds with 500. */
  kError,
  /** Executes the request, then closes the connection without a response. */
  kReset,
  /** Executes the request and never responds. */
  kNoResponse,
  /** Closes the connection in the middle of the second event, or of the body of
      a response that is not a stream. */
  kTruncated,
  /** Sends two events of a stream and then nothing; keeps the connection open.
   */
  kStalled,
  /** Sends two events of a stream, pauses for kPauseMs and sends the others. */
  kPaused,
  /** Responds without `Response-Stamp`, which names the upstream. */
  kNoStamp,
  /** Responds with the id of another request. */
  kOtherRequestId,
  /** Resets the connection at the next request without executing it, as for a
      connection that the upstream no longer knows, then changes to kOk. */
  kResetNext,
};

/** Returns the mode called `name`, or kOk for an unknown name. */
UpstreamMode ParseUpstreamMode(const std::string& name);

/** What all stand-in upstreams of the platform have observed. */
struct UpstreamObservations {
  /** Number of executions started, by request id. */
  std::map<std::string, int> executions;
  /** Number of requests whose connection was closed by the client while they
      were executed. */
  int disconnects = 0;
  /** Header fields of the requests received, as `name: value`, by request
      id. */
  std::map<std::string, std::vector<std::string>> request_headers;
  /** Number of requests received, by upstream. */
  std::map<std::string, int> arrivals;
  /** Number of requests received with an id that was received before. */
  int repeats = 0;
  /** Number of requests received that crash upstreams. */
  int crashing_requests = 0;
  /** Number of crashes of upstreams. */
  int crashes = 0;
};

/** An upstream with the platform's HTTP interface: a request to any path is
    executed. A request that carries `Token-Count` gets a stream of kEvents
    events as its response. Used on the thread of the event loop. */
class PlatformUpstream : public HttpServer::Delegate {
 public:
  static constexpr int kEvents = 5;
  static constexpr int kPauseMs = 5200;

  PlatformUpstream(boost::asio::io_context& loop,
                   std::string id,
                   UpstreamObservations* observations)
      : loop_(loop), id_(std::move(id)), observations_(observations) {}

  void SetMode(UpstreamMode mode) { mode_ = mode; }
  /** Adds header fields to all responses, as an upstream does that leaves or
      names a limit. */
  void SetAnnouncements(
      std::vector<std::pair<std::string, std::string>> fields);
  /** Called when another incarnation of the upstream begins. */
  void OnNewIncarnation();
  /** Returns what was counted while the responses named a usable limit.
      Gateways are told apart by the ids of their requests, which must begin
     with the gateway's name and a hyphen. */
  const RequestLimitCheck& limit_check() const { return limit_check_; }
  /** Counts what arrives while the upstream is cold. */
  ColdCheck& cold_check() { return cold_check_; }
  const ColdCheck& cold_check() const { return cold_check_; }
  /** Sets the time before each event, and before a response that is not a
      stream. */
  void SetEventInterval(int milliseconds) { event_interval_ms_ = milliseconds; }
  /** Sets the id of a prompt part on which the upstream crashes before it
      writes the first event; empty for none. A crash breaks the connections of
      all requests and then calls `on_crash`. */
  void SetCrashingPart(std::string part, std::function<void()> on_crash) {
    crashing_part_ = std::move(part);
    on_crash_ = std::move(on_crash);
  }
  /** The same for requests to `target`, whatever they are; empty for none. */
  void SetCrashingTarget(std::string target, std::function<void()> on_crash) {
    crashing_target_ = std::move(target);
    on_crash_ = std::move(on_crash);
  }
  /** Returns the id under which the upstream is registered. */
  const std::string& id() const { return id_; }
  /** Sets the id of the incarnation that begins. */
  void SetId(std::string id) { id_ = std::move(id); }

  std::shared_ptr<HttpHandler> NewHandler() override;
  HttpServer::Limits limits() const override {
    return {.parser = {.max_body_bytes = 8 << 20}};
  }

 private:
  class Execution;
  void Crash();

  boost::asio::io_context& loop_;
  std::string id_;
  UpstreamObservations* observations_;
  UpstreamMode mode_ = UpstreamMode::kOk;
  int event_interval_ms_ = 20;
  std::vector<std::pair<std::string, std::string>> announcements_;
  RequestLimitCheck limit_check_;
  ColdCheck cold_check_;
  std::string crashing_part_;
  std::string crashing_target_;
  std::function<void()> on_crash_;
  std::set<Execution*> executions_;
};

}  // namespace chicory

#endif  // STAND_INS_PLATFORM_UPSTREAM_H_
