#ifndef REVIEW_STAND_INS_STORE_H_
#define REVIEW_STAND_INS_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>

#include "review/stand_ins/net.h"
#include "review/stand_ins/record.h"

namespace review {

/** The platform's store: lists and watches of objects over HTTP. The case
    itself writes the objects, with the content that it wants. Thread-safe. */
class Store {
 public:
  explicit Store(Record* record);
  ~Store();

  bool Start(const std::string& ip = "127.0.0.1");
  const Address& address() const { return server_.address(); }

  /** Creates or replaces an object; `spec` is the JSON text of its content.
      Returns the revision of the change. */
  uint64_t Put(const std::string& kind,
               const std::string& name,
               const std::string& spec);
  uint64_t Remove(const std::string& kind, const std::string& name);
  /** Discards the history: a watch from an earlier revision gets 410. */
  void Compact();
  /** Sets how long the store takes to answer a call. */
  void SetAnswerTime(Milliseconds time);

 private:
  struct Object {
    std::string spec;
    uint64_t revision = 0;
    bool deleted = false;
  };

  void Serve(Connection& connection);
  std::string ObjectJson(const std::string& name, const Object& object) const;
  std::string List(const std::string& kind, const std::string& after);
  /** Waits for changes after `revision`; empty if this history is gone. */
  std::string Watch(const std::string& kind,
                    uint64_t revision,
                    Milliseconds wait);
  bool HasChanged(const std::string& kind, uint64_t revision) const;

  Record* record_;
  Server server_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::map<std::string, Object>> objects_;
  uint64_t revision_ = 100;
  uint64_t oldest_ = 0;
  Milliseconds answer_time_ = Milliseconds(4);
  bool stopping_ = false;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_STORE_H_
