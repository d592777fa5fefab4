#ifndef MODULES_NET_EVENT_STREAM_H_
#define MODULES_NET_EVENT_STREAM_H_

#include <optional>
#include <string>
#include "absl/strings/string_view.h"

namespace chicory {

/** Cuts the body of an event stream into whole events, so that a stream which
    breaks off in the middle of an event can go on at another upstream.

    Not thread-safe. */
class EventStreamSplitter {
 public:
  /** Adds bytes of the body. */
  void Add(absl::string_view bytes) {
    pending_.append(bytes.data(), bytes.size());
  }

  /** The whole events among the bytes added so far, as they came; empty when
      none is complete. */
  std::string TakeEvents();

  /** Bytes of an event that is not complete yet. */
  size_t pending_bytes() const { return pending_.size(); }
  /** What followed the last whole event; the stream ends with it. */
  std::string TakeRemainder();

  /** The id of the last whole event; empty when there was none. */
  const std::string& last_event_id() const { return last_event_id_; }
  /** Whole events taken so far. */
  int events() const { return events_; }

 private:
  void NoteEvent(absl::string_view event);

  std::string pending_;
  std::string last_event_id_;
  int events_ = 0;
};

}  // namespace chicory

#endif  // MODULES_NET_EVENT_STREAM_H_
