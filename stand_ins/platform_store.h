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

/** How the store responds. */
enum class StoreMode {
  kOk,
  /** Responds with 503, without effect. */
  kDown,
  /** Responds with 429, without effect. */
  kBusy,
  /** Leaves requests without a response. */
  kSilent,
  /** Closes connections without a response. */
  kDisconnect,
};

/** Serves the lists, watches and writes of the platform's store, for process
    tests. Of writes it serves what the gateway uses: POST of a new object, and
    DELETE. Used on the thread of the event loop. */
class PlatformStore : public HttpServer::Delegate {
 public:
  explicit PlatformStore(boost::asio::io_context& loop) : loop_(loop) {}

  /** Stores an object; `spec` is JSON. */
  void Put(const std::string& kind,
           const std::string& name,
           const std::string& spec);
  void Remove(const std::string& kind, const std::string& name);
  /** Changes how requests are served. Disconnects waiting watches, except for
      kOk and kSilent. */
  void SetMode(StoreMode mode);
  /** Discards the history and disconnects waiting watches. Watches from the
      current revision or an older one get 410 from then on. */
  void CompactHistory();
  /** Returns the number of requests received. */
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

  /** Returns the objects of `kind` changed after `revision`, as JSON events. */
  std::string Events(const std::string& kind, uint64_t revision) const;
  /** Returns one page of the objects of `kind` whose names sort after
      `after`, as JSON. */
  std::string List(const std::string& kind, const std::string& after) const;
  /** Creates the object of `kind` in `body`. Returns the status. */
  int Create(const std::string& kind, const std::string& body);
  /** Deletes the object at `path`, which follows /objects/. Returns the status.
   */
  int Delete(const std::string& path);
  bool HasChanged(const std::string& kind, uint64_t revision) const;
  /** Responds to the waiting watches whose objects have changed. Does nothing
      unless the mode is kOk. */
  void NotifyWatches();

  /** Number of objects on one page of a list. */
  static constexpr size_t kPageSize = 3;

  boost::asio::io_context& loop_;
  StoreMode mode_ = StoreMode::kOk;
  uint64_t revision_ = 1;
  uint64_t oldest_watchable_revision_ = 0;
  int64_t calls_ = 0;
  /** Objects by kind and name. */
  std::map<std::string, std::map<std::string, Object>> objects_;
  std::shared_ptr<std::set<Call*>> watches_ =
      std::make_shared<std::set<Call*>>();
};

}  // namespace chicory

#endif  // STAND_INS_PLATFORM_STORE_H_
