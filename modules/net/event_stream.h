#ifndef MODULES_NET_EVENT_STREAM_H_
#define MODULES_NET_EVENT_STREAM_H_

#include <optional>
#include <string>
#include "absl/strings/string_view.h"

namespace chicory {

/** Splits the body of a server-sent event stream into complete events. A stream
    that ends in the middle of an event can then be resumed at another upstream
    after the last complete one.

    Not thread-safe. */
class EventStreamSplitter {
 public:
  /** Appends received bytes of the body. */
  void Add(absl::string_view bytes) {
    pending_.append(bytes.data(), bytes.size());
  }

  /** Returns the complete events added since the last call, byte for byte, or
      an empty string if there are none. */
  std::string TakeEvents();

  /** Returns the number of bytes not yet returned by TakeEvents(). */
  size_t pending_bytes() const { return pending_.size(); }
  /** Removes the bytes not yet returned by TakeEvents(). To be called before
      the stream is resumed. */
  void DropPartialEvent() { pending_.clear(); }

  /** Returns the most recent `id` field among the events taken, or an empty
      string if there was none. */
  const std::string& last_event_id() const { return last_event_id_; }
  /** Returns the number of events taken so far. */
  int events() const { return events_; }

 private:
  void RecordEvent(absl::string_view event);

  std::string pending_;
  std::string last_event_id_;
  int events_ = 0;
};

}  // namespace chicory

#endif  // MODULES_NET_EVENT_STREAM_H_
