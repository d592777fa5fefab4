#ifndef REVIEW_STAND_INS_WORKER_H_
#define REVIEW_STAND_INS_WORKER_H_

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "review/stand_ins/net.h"
#include "review/stand_ins/record.h"

namespace review {

/** What a worker does with a request. */
struct WorkerOptions {
  /** Its id, under which it stands in the store. */
  std::string id;
  std::string service;
  std::string zone = "ajloun-a";
  int slots = 6;
  /** Answers with a stream of this many events; 0 for a plain service. */
  int events = 0;
  /** If set, a stream has one event for so many of the request's maximum number
      of output tokens instead. */
  int tokens_per_event = 0;
  /** Time to work on a plain request, or until a stream's first event. */
  Milliseconds work_time = Milliseconds(60);
  /** Adds the time that an engine of the small deployments takes to read the
      prompt. */
  bool reads_prompts = false;
  Milliseconds event_time = Milliseconds(20);
  /** Of this many streams, the last one has no length and ends with its
      connection; 0 for none. */
  int unframed_every = 0;
  /** It does so for the first `unframed_length` of each `unframed_period`. */
  Milliseconds unframed_length = Milliseconds(5000);
  Milliseconds unframed_period = Milliseconds(6000);
  /** If set and it returns bytes, these are the answer to a request that has
      run, in place of the worker's own. */
  std::function<std::optional<std::string>(const Request&)> spoiled_answer;
};

/** A worker of a service as the pages describe it. Thread-safe. */
class Worker {
 public:
  Worker(WorkerOptions options, Record* record);

  bool Start(const std::string& ip = "127.0.0.1");
  void Stop() { server_.Stop(); }
  const Address& address() const { return server_.address(); }
  /** Returns what the worker says of itself in the store. */
  std::string Entry(const std::string& state = "ready") const;
  const WorkerOptions& options() const { return options_; }

  /** Returns how often the request `id` began to run here. */
  int Runs(const std::string& id);
  int TotalRuns();

 private:
  void Serve(Connection& connection);
  /** Returns false if the connection has ended. */
  bool Answer(Connection& connection, const Request& request);
  bool Stream(Connection& connection, const Request& request);
  std::string Head(const std::string& id) const;
  /** Returns whether the next stream has a length or chunks. */
  bool TakeFramed();
  Milliseconds WorkTime(const Request& request) const;

  const WorkerOptions options_;
  Record* record_;
  Server server_;
  std::atomic<int> running_ = 0;
  std::atomic<int> streams_ = 0;
  std::mutex mutex_;
  std::map<std::string, int> runs_;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_WORKER_H_
