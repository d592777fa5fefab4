#ifndef REVIEW_STAND_INS_RECORD_H_
#define REVIEW_STAND_INS_RECORD_H_

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

/** The record of a case: what was sent, answered and run, a line each with the
    milliseconds since the start. Thread-safe. */
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}

  void Add(const std::string& line);
  /** Milliseconds since the start of the record. */
  int64_t Now() const;

 private:
  const std::chrono::steady_clock::time_point begin_ =
      std::chrono::steady_clock::now();
  std::mutex mutex_;
  std::ofstream file_;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_RECORD_H_
