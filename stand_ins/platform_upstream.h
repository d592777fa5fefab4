#ifndef STAND_INS_PLATFORM_UPSTREAM_H_
#define STAND_INS_PLATFORM_UPSTREAM_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "modules/net/http_server.h"

namespace chicory {

/** How an upstream of the platform behaves towards requests. */
enum class UpstreamMode {
  kOk,
  /** Refuses with the promise that it did not run. */
  kFull,
  /** Runs, then fails. */
  kError,
  /** Runs, then closes without an answer. */
  kReset,
  /** Runs and never answers. */
  kMute,
  /** Closes in the middle of its second event, or of its body. */
  kBreak,
  /** Answers without a signature. */
  kUnsigned,
  /** Answers as if to another request. */
  kForeign,
  /** Resets the next request unseen, as on a connection that it had forgotten,
      and is kOk from then on. */
  kForget,
};

/** The mode of that name; kOk for an unknown one. */
UpstreamMode UpstreamModeOf(const std::string& name);

/** What all stand-in upstreams saw. */
struct UpstreamRecordBook {
  /** Runs begun, by request id. */
  std::map<std::string, int> runs;
  /** Requests whose caller's connection went away while they ran. */
  int left = 0;
  /** Heads of the requests that arrived, header fields as `name: value`. */
  std::map<std::string, std::vector<std::string>> heads;
};

/** An upstream as the platform describes it: `POST` and `GET` to any path run a
    request; a request that carries a token count is answered by a stream of
    kEvents events. */
class PlatformUpstream : public HttpServer::Delegate {
 public:
  static constexpr int kEvents = 5;

  PlatformUpstream(boost::asio::io_context& loop,
                   std::string id,
                   UpstreamRecordBook* book)
      : loop_(loop), id_(std::move(id)), book_(book) {}

  void SetMode(UpstreamMode mode) { mode_ = mode; }
  /** Between two events, and before a plain answer. */
  void SetPace(int milliseconds) { pace_ms_ = milliseconds; }

  std::shared_ptr<HttpHandler> NewHandler() override;
  HttpServer::Limits limits() const override {
    return {.parser = {.max_body_bytes = 8 << 20}};
  }

 private:
  class Run;
  boost::asio::io_context& loop_;
  const std::string id_;
  UpstreamRecordBook* book_;
  UpstreamMode mode_ = UpstreamMode::kOk;
  int pace_ms_ = 20;
};

}  // namespace chicory

#endif  // STAND_INS_PLATFORM_UPSTREAM_H_
