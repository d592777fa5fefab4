#ifndef REVIEW_STAND_INS_NET_H_
#define REVIEW_STAND_INS_NET_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/** An IPv4 address and port in text form. */
struct Address {
  std::string ip = "127.0.0.1";
  uint16_t port = 0;

  std::string Text() const { return ip + ":" + std::to_string(port); }
};

/** Header fields by lower-case name; the first of several values is kept. */
using Fields = std::map<std::string, std::string>;

/** A request as a server has read it. */
struct Request {
  std::string method;
  std::string target;
  Fields fields;
  std::string body;

  /** Returns a field's value, or an empty string. `name` is in lower case. */
  std::string Field(const std::string& name) const;
};

/** How a response ended for a client. */
enum class End {
  /** Complete by its length or its last chunk. */
  kComplete,
  /** The connection ended before the first byte of the response. */
  kNoAnswer,
  /** The connection ended inside the response. */
  kCut,
  /** The client stopped waiting. */
  kGaveUp,
  /** No connection came about. */
  kNoConnection,
};

/** Returns the name of an end in the record. */
const char* EndName(End end);

/** A response as a client has read it. */
struct Response {
  End end = End::kNoConnection;
  int status = 0;
  Fields fields;
  std::string body;
  bool keeps_connection = false;
};

/** A blocking TCP connection. */
class Connection {
 public:
  explicit Connection(int descriptor) : descriptor_(descriptor) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /** Connects within `timeout`; returns null if no connection came about. */
  static std::unique_ptr<Connection> Open(const Address& to,
                                          Milliseconds timeout);

  /** Returns false if the peer has gone. */
  bool Write(const std::string& bytes);
  /** Reads the next request; nullopt once the connection has ended. */
  std::optional<Request> ReadRequest();
  /** Reads the response to a request that was written before. */
  Response ReadResponse(Clock::time_point until);
  /** Returns whether the peer has closed the connection. */
  bool IsClosedByPeer() const;
  /** Ends the connection with a reset. */
  void Reset();
  /** Ends both directions, which wakes a thread that reads. */
  void Shutdown();

 private:
  enum class ReadResult { kBytes, kEnded, kTimeout };
  ReadResult ReadMore(Clock::time_point until);
  /** Reads until the buffer holds `text`; returns its position. */
  std::optional<size_t> ReadUntil(const std::string& text,
                                  Clock::time_point until,
                                  ReadResult* result);

  int descriptor_;
  std::string buffer_;
};

/** Accepts connections on a loopback address and serves each on a thread. */
class Server {
 public:
  using Handler = std::function<void(Connection&)>;

  explicit Server(Handler handler) : handler_(std::move(handler)) {}
  ~Server();

  /** Listens on `ip`, on a free port if `port` is 0. */
  bool Start(const std::string& ip, uint16_t port = 0);
  /** Closes the listener and all connections, as the end of a process does. */
  void Stop();
  const Address& address() const { return address_; }

 private:
  void Accept();
  void Serve(int descriptor);

  Handler handler_;
  Address address_;
  int listener_ = -1;
  std::atomic<bool> stopping_ = false;
  std::thread accept_thread_;
  std::mutex mutex_;
  std::set<int> open_;
  std::vector<std::thread> threads_;
};

/** Returns a port that is free on all of `ips` for TCP and UDP; 0 if none was
    found. */
uint16_t FreePort(const std::vector<std::string>& ips);

}  // namespace review

#endif  // REVIEW_STAND_INS_NET_H_
