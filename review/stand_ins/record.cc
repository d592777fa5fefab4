#include "review/stand_ins/record.h"

namespace review {

void Record::Add(const std::string& line) {
  const std::lock_guard<std::mutex> lock(mutex_);
  file_ << Now() << " " << line << std::endl;
}

int64_t Record::Now() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - begin_)
      .count();
}

}  // namespace review
