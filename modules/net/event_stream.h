#ifndef MODULES_NET_EVENT_STREAM_H_
#define MODULES_NET_EVENT_STREAM_H_

#include <optional>
#include <string>
#include "absl/strings/string_view.h"

namespace chicory {

/** Splits the body of a server-sent event stream into complete events. A stream
    that ends in the middle of an event can then be resumed at another upstream
    after the last complete one.

    Also tells bytes that belong to no stream, such as the text or the head of
    an error response, from events: their lines are no fields, or they lack the
    growing id that the events of a stream have. Comments and blank lines need
    none; they are returned with the events, but not counted.

    Not thread-safe. */
class EventStreamSplitter {
 public:
  /** Appends received bytes of the body. */
  void Add(absl::string_view bytes) {
    pending_.append(bytes.data(), bytes.size());
  }

  /** Returns the complete events added since the last call, byte for byte, or
      an empty string if there are none. Stops before foreign bytes. */
  std::string TakeEvents();

  /** Returns true if the bytes not yet returned begin with bytes that belong to
      no stream, or to another part of it. */
  bool has_foreign_bytes() const { return has_foreign_bytes_; }

  /** Returns the number of bytes not yet returned by TakeEvents(). */
  size_t pending_bytes() const { return pending_.size(); }
  /** Removes the bytes not yet returned by TakeEvents(). To be called before
      the stream is resumed. */
  void DropPartialEvent() {
    pending_.clear();
    has_foreign_bytes_ = false;
  }

  /** Returns the most recent `id` field among the events taken, or an empty
      string if there was none. */
  const std::string& last_event_id() const { return last_event_id_; }
  /** Returns the number of events taken so far. */
  int events() const { return events_; }

 private:
  /** Takes note of the block of lines `block`, which a blank line ends. Returns
      false if it is foreign. */
  bool RecordBlock(absl::string_view block);

  std::string pending_;
  std::string last_event_id_;
  int events_ = 0;
  bool has_foreign_bytes_ = false;
};

}  // namespace chicory

#endif  // MODULES_NET_EVENT_STREAM_H_
