#ifndef REVIEW_STAND_INS_2_HARNESS_H_
#define REVIEW_STAND_INS_2_HARNESS_H_

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

/** Stand-ins and helpers of the cases of the second review: the platform's
    store, workers, clients, links that can be cut, and gateway processes. All
    of them use loopback addresses, blocking sockets and one thread for each
    connection. */
namespace review {

/** Exit codes of a case. */
enum class Outcome { kHeld = 0, kBroken = 1, kNotRun = 2 };

/** Returns the seconds since the start of the process. */
double Now();
void SleepFor(double seconds);
void SleepUntil(double at);

/** Writes record.txt: one line for each thing that was sent, answered or run,
    with its time. */
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  void Write(const std::string& line);

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

/** A request or a response. The names of header fields are in lower case. */
struct Message {
  std::string first_line;
  std::multimap<std::string, std::string> headers;
  std::string body;

  std::string Header(const std::string& name) const;
  /** Returns the status of a response; 0 if this is none. */
  int status() const;
  std::string method() const;
  std::string target() const;
};

/** One TCP connection. */
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /** Connects to `ip`:`port`; null if that fails. */
  static std::unique_ptr<Connection> To(const std::string& ip, int port);

  bool Send(const std::string& bytes);
  struct ReadOptions {
    double timeout_s = 0;
    /** Pause after each 32 KiB of a body of more than `slow_from` bytes. */
    double slow_read_s = 0;
    size_t slow_from = 0;
    /** Called when the head has been read; may be empty. */
    std::function<void(const Message&)> on_head;
  };
  /** Reads one message with a body of a known length or in chunks. Returns
      nullopt at the end of the connection or after the timeout. */
  std::optional<Message> Read(const ReadOptions& options);
  std::optional<Message> Read(double timeout_s);
  /** Returns whether the last Read() ended because the peer closed. */
  bool is_closed() const { return is_closed_; }
  int fd() const { return fd_; }

 private:
  bool Fill(double until, size_t most);

  const int fd_;
  std::string buffer_;
  bool is_closed_ = false;
};

/** Listens on a free port of `ip` and handles each connection on a thread. */
class Listener {
 public:
  using Handler = std::function<void(std::shared_ptr<Connection>)>;
  /** `receive_buffer_bytes` is that of the system if 0. */
  Listener(const std::string& ip,
           Handler handler,
           int receive_buffer_bytes = 0);
  int port() const { return port_; }
  /** Closes the port, so that further connections are refused. */
  void Close();

 private:
  std::atomic<int> fd_{-1};
  int port_ = 0;
};

/** The platform's store: lists and watches of objects. */
class Store {
 public:
  Store();
  int port() const { return listener_->port(); }
  /** Writes an object and returns the time of the acknowledgement. */
  double Put(const std::string& kind,
             const std::string& name,
             const std::string& spec);
  double Remove(const std::string& kind, const std::string& name);
  /** Returns the local ports of the peers whose watches of `kind` wait. */
  std::vector<int> Watching(const std::string& kind);

 private:
  struct Object {
    std::string spec;
    uint64_t revision = 0;
    bool deleted = false;
  };
  void Serve(Connection* connection);
  std::string List(const std::string& kind);
  std::string Watch(const std::string& kind, uint64_t from, int wait_ms);
  std::string Json(const std::string& name, const Object& object);

  std::mutex mutex_;
  std::condition_variable changed_;
  uint64_t revision_ = 1;
  std::map<std::string, std::map<std::string, Object>> objects_;
  std::multimap<std::string, int> watching_;
  std::unique_ptr<Listener> listener_;
};

/** The path of one machine to the store. While it is cut nothing passes in
    either direction; a kept connection is reset after kProbeTime, when a
    machine's keep-alive probes would have shown that its peer is gone. */
class Link {
 public:
  static constexpr double kProbeTime = 2.5;
  explicit Link(int target_port);
  int port() const { return listener_->port(); }
  void Cut(double seconds);
  /** Returns whether `port` is the local port of a connection of this link to
      its target. */
  bool Owns(int port);

 private:
  bool IsCut() const { return Now() < cut_until_; }
  void Pump(const Connection* from, const Connection* to);

  const int target_port_;
  std::atomic<double> reset_at_{-1};
  std::atomic<double> cut_until_{-1};
  std::mutex mutex_;
  std::vector<int> ports_;
  std::unique_ptr<Listener> listener_;
};

/** A worker. Answers each request with 200 and its stamp after `work_s`. */
class Worker {
 public:
  struct Options {
    std::string id;
    double work_s = 0.02;
    /** Pause after each 32 KiB of a large body; 0 reads at full speed. */
    double slow_read_s = 0;
    /** Called when the head of a request has been read; may be empty. */
    std::function<void(const Message&)> on_head;
    /** Returns header fields that all answers carry; may be empty. */
    std::function<std::string()> fields = nullptr;
  };
  /** Called when a request has arrived in full, which then runs. */
  using Arrived =
      std::function<void(const std::string& worker, const Message& request)>;
  Worker(Options options, Arrived arrived);
  int port() const { return listener_->port(); }
  /** Ends the worker as a crash does: its port and all its connections close.
   */
  void Crash();
  /** Returns the entry with which the worker registers. */
  std::string Entry(const std::string& service, int slots) const;

 private:
  void Serve(Connection* connection);

  const Options options_;
  const Arrived arrived_;
  std::atomic<bool> has_crashed_{false};
  std::mutex mutex_;
  std::vector<std::shared_ptr<Connection>> connections_;
  std::unique_ptr<Listener> listener_;
};

/** A gateway process, started with the command of the deploy file and the
    settings that its template gives. */
class Gateway {
 public:
  struct Options {
    std::string name;
    std::string ip;
    int peers_port = 0;
    int store_port = 0;
    std::vector<std::string> seeds;
    int memory_mb = 182;
    std::string folder;
  };
  explicit Gateway(const Options& options);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  const std::string& ip() const { return options_.ip; }
  int port() const { return frontend_port_; }
  bool IsReady() const;
  bool WaitUntilReady(double seconds) const;
  /** Returns the memory in use in MiB; 0 if the process has ended. */
  double MemoryMb() const;
  bool IsRunning();
  void Kill();
  static void KillAll();

 private:
  const Options options_;
  int frontend_port_ = 0;
  int ready_port_ = 0;
  std::atomic<pid_t> pid_{-1};
};

/** Returns a TCP port of `ip` that is free at the moment. */
int FreePort(const std::string& ip);

/** A run of a case, in a temporary folder, with what the environment says:
    TROUBLE=0 leaves the disruption out, RECORD names the record, KEEP keeps the
    folder. */
class Case {
 public:
  Case();
  bool is_disrupted() const { return is_disrupted_; }
  const std::string& folder() const { return folder_; }
  Record* record() { return record_.get(); }
  /** Ends all gateways and the process; the threads of stand-ins, which use the
      case's variables, end with it. */
  [[noreturn]] void End(Outcome outcome);

 private:
  bool is_disrupted_ = true;
  std::string folder_;
  std::unique_ptr<Record> record_;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_2_HARNESS_H_
