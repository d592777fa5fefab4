#ifndef STAND_INS_PLATFORM_STORE_H_
#define STAND_INS_PLATFORM_STORE_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "modules/net/http_server.h"

namespace chicory {

/** How the store answers. */
enum class StoreMode {
  kOk,
  /** 503 without effect. */
  kDown,
  /** 429 without effect. */
  kBusy,
  /** No answer at all. */
  kSilent,
  /** Closes connections without an answer. */
  kCut,
};

/** The lists and watches of the platform's store, for process tests. Objects
    are put by the test itself. */
class PlatformStore : public HttpServer::Delegate {
 public:
  explicit PlatformStore(boost::asio::io_context& loop) : loop_(loop) {}

  /** Puts an object; `spec` is JSON. */
  void Put(const std::string& kind,
           const std::string& name,
           const std::string& spec);
  void Remove(const std::string& kind, const std::string& name);
  /** Switches; waiting watches are cut unless the mode is kSilent. */
  void SetMode(StoreMode mode);
  /** Drops the history: watches from before get 410. */
  void ForgetHistory();
  /** Calls so far. */
  int64_t calls() const { return calls_; }

  std::shared_ptr<HttpHandler> NewHandler() override;
  HttpServer::Limits limits() const override { return {}; }

 private:
  class Call;
  struct Object {
    std::string spec;
    uint64_t revision = 0;
    bool deleted = false;
  };

  /** Objects of `kind` changed after `revision`, as events. */
  std::string Events(const std::string& kind, uint64_t revision) const;
  std::string List(const std::string& kind, const std::string& after) const;
  bool HasChanged(const std::string& kind, uint64_t revision) const;
  void Wake();

  /** Objects on one page of a list. */
  static constexpr size_t kPage = 3;

  boost::asio::io_context& loop_;
  StoreMode mode_ = StoreMode::kOk;
  uint64_t revision_ = 1;
  uint64_t history_from_ = 0;
  int64_t calls_ = 0;
  std::map<std::string, std::map<std::string, Object>> kinds_;
  std::shared_ptr<std::set<Call*>> watches_ =
      std::make_shared<std::set<Call*>>();
};

}  // namespace chicory

#endif  // STAND_INS_PLATFORM_STORE_H_
