#ifndef MODULES_SERVING_SOCKET_STREAM_H_
#define MODULES_SERVING_SOCKET_STREAM_H_

#include <httplib.h>

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "modules/core/memory_budget.h"
#include "modules/serving/http_api_server.h"

namespace chicory {

/** Returns whether any of `events` occurs on `socket` within `wait`. */
bool PollSocket(int socket, short events, absl::Duration wait);

/** Why a request is refused before the library reads it. */
struct HeadRefusal {
  /** Status of the response; nullopt if no caller waits for one. */
  std::optional<int> status;
  /** For log lines. */
  std::string reason;
};

/** Adapts one connection to the stream interface of the HTTP library, and
    bounds what the library reads for a request.

    Used by the connection's thread, except where stated. */
class SocketStream : public httplib::Stream, public MemoryBudget::Holder {
 public:
  /** What the connection is doing. */
  enum class Phase { kWaiting, kReading, kHandling };

  SocketStream(int socket, const HttpApiServer::Options& options);
  ~SocketStream() override;
  SocketStream(const SocketStream&) = delete;
  SocketStream& operator=(const SocketStream&) = delete;

  void OnEvicted(const MemoryBudget::Eviction& eviction) override {
    Interrupt(eviction);
  }

  /** Ends the wait for input, so that the connection closes. May be called from
      any thread. */
  void Interrupt(const MemoryBudget::Eviction& eviction);

  /** Resets the state of the previous request and starts the time-out of the
      next one. */
  void BeginRequest();
  /** Receives the head of the request, which the library then reads. The
     library skips lines that it cannot read and may end a body elsewhere than
     the caller does, so the head is checked first. Returns nullopt if it is
     valid.
   */
  std::optional<HeadRefusal> ReceiveHead();
  /** Has the library read `head` in place of what was received. */
  void ReplaceHead(std::string head);
  /** Called when the head of a request has been read and is valid. */
  void OnHeadRead(bool announces_body);
  /** Reads the body of a request. If that fails, sets the status of `response`
      and returns false. */
  bool ReadBody(const httplib::ContentReader& reader,
                std::string* body,
                httplib::Response* response);
  /** Called after each request. */
  void EndRequest();

  /** Returns false if the rest of a request may follow: it was malformed, so
      that its end is not known, or nobody has read its body. */
  bool is_at_end_of_request() const {
    return has_read_head_ && !has_unread_body_;
  }
  /** May be called from any thread. */
  Phase phase() const { return phase_; }
  /** May be called from any thread. */
  absl::Time phase_since() const {
    return absl::FromUnixNanos(phase_since_ns_);
  }
  /** May be called from any thread. */
  bool is_interrupted() const { return is_interrupted_; }
  /** May be called from any thread. */
  bool has_requests() const { return has_requests_; }
  /** Returns the address of the peer, 0 if it is unknown. */
  uint32_t PeerIp() const;

  bool HasBuffered() const {
    return taken_from_head_ < head_.size() || begin_ < end_;
  }
  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* data, size_t size) override;
  ssize_t write(const char* data, size_t size) override;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  socket_t socket() const override { return socket_; }

  /** Sends all of `data`. If the caller has disconnected or does not read,
      returns false and causes the connection to be closed. */
  bool Send(std::string_view data);
  /** Reads and discards what arrives within `wait`. Returns false if there will
      be no more. */
  bool DiscardInput(absl::Duration wait);
  /** Discards what the library writes until the next request. */
  void DiscardLibraryWrites() { discards_library_writes_ = true; }
  /** Causes the connection to be closed after the current request. */
  void Abort() { is_aborted_ = true; }
  bool is_aborted() const { return is_aborted_; }
  /** Returns false after a caller has disconnected or did not read. */
  bool can_write() const { return can_write_; }

  /** Sets whether this is the last request on the connection, which its
      response then announces. */
  void set_is_last(bool is_last) { is_last_ = is_last; }
  bool is_last() const { return is_last_; }

 private:
  void SetPhase(Phase phase);
  /** Returns why the head did not arrive, of which there is a part if
      `has_begun`. */
  HeadRefusal MissingHead(bool has_begun) const;
  /** Moves at most `size` bytes to `data` and returns their number. */
  size_t TakeBuffered(char* data, size_t size);
  /** Counts `count` bytes that the library reads, and returns whether it may.
      It keeps all that it reads, without a bound of its own. */
  bool IsWithinBounds(size_t count);
  void Hold(size_t bytes, bool can_end);
  bool FillBuffer();

  const int socket_;
  const HttpApiServer::Options& options_;
  /** A head that has been checked and what was received with it. Precedes what
      is in `buffer_`. */
  std::string head_;
  size_t taken_from_head_ = 0;
  std::vector<char> buffer_;
  size_t begin_ = 0;
  size_t end_ = 0;
  absl::Time read_deadline_;
  bool discards_library_writes_ = false;
  bool is_aborted_ = false;
  bool can_write_ = true;
  bool is_last_ = false;
  std::atomic<bool> has_requests_{false};
  bool has_read_head_ = false;
  bool has_unread_body_ = false;
  bool is_reading_body_ = false;
  size_t head_bytes_ = 0;
  size_t body_bytes_ = 0;
  /** Bytes read with the body, which include the body. */
  size_t framing_bytes_ = 0;
  std::optional<MemoryBudget::Reservation> reservation_;
  std::atomic<bool> is_interrupted_{false};
  std::atomic<Phase> phase_{Phase::kWaiting};
  std::atomic<int64_t> phase_since_ns_{absl::ToUnixNanos(absl::Now())};
};

}  // namespace chicory

#endif  // MODULES_SERVING_SOCKET_STREAM_H_
