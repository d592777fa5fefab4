#ifndef REVIEW_STAND_INS_CALLER_H_
#define REVIEW_STAND_INS_CALLER_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "review/stand_ins/net.h"
#include "review/stand_ins/record.h"

namespace review {

/** One kind of request of the callers. */
struct CallKind {
  std::string name;
  std::string method = "POST";
  std::string path;
  std::string body;
  /** Further header lines, each with its line end. */
  std::string fields;
  Milliseconds deadline = Milliseconds(4000);
};

/** What became of one request. */
struct CallResult {
  std::string id;
  std::string kind;
  int64_t sent_ms = 0;
  std::string gateway;
  /** The connection had carried a request before. */
  bool on_kept_connection = false;
  Response response;
};

/** Clients that keep their connections, each on a thread of its own. A client
    stays at one gateway until its connection ends, and does not repeat
    requests. Thread-safe. */
class Callers {
 public:
  struct Options {
    /** Addresses to which the platform may forward a new connection. */
    std::vector<Address> gateways;
    std::vector<CallKind> kinds;
    int clients = 8;
    /** Time between the first requests of two clients. */
    Milliseconds start_gap = Milliseconds(0);
    /** Pause of a client between an answer and its next request. */
    Milliseconds pause = Milliseconds(100);
    std::string host = "works.example";
    std::string key;
  };

  Callers(Options options, Record* record);
  ~Callers();

  void Start();
  void Stop();
  std::vector<CallResult> results();

 private:
  void Run(int client);
  /** Adds the result to the record. Returns whether the answer was a promise.
   */
  void Keep(CallResult result);
  CallResult Call(const CallKind& kind,
                  const std::string& id,
                  size_t turn,
                  std::unique_ptr<Connection>* connection,
                  Address* gateway);

  const Options options_;
  Record* record_;
  std::atomic<bool> stopping_ = false;
  std::vector<std::thread> threads_;
  std::mutex mutex_;
  std::vector<CallResult> results_;
};

/** Returns the bytes of a request. */
std::string RequestBytes(const CallKind& kind,
                         const std::string& host,
                         const std::string& key,
                         const std::string& id);

}  // namespace review

#endif  // REVIEW_STAND_INS_CALLER_H_
