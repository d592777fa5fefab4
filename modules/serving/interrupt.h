#ifndef MODULES_SERVING_INTERRUPT_H_
#define MODULES_SERVING_INTERRUPT_H_

#include <functional>
#include <utility>

#include "absl/synchronization/mutex.h"

namespace chicory {

/** Lets one thread break off a blocking call of another. Thread-safe. */
class Interrupt {
 public:
  /** Breaks off the call under way, and every later one. */
  void Raise() {
    absl::MutexLock lock(&mutex_);
    is_raised_ = true;
    if (stop_)
      stop_();
  }

  /** True once raised. */
  bool is_raised() const {
    absl::MutexLock lock(&mutex_);
    return is_raised_;
  }

  /** Forgets that it was raised; between two calls of its owner. */
  void Reset() {
    absl::MutexLock lock(&mutex_);
    is_raised_ = false;
  }

  /** Runs `call` while `stop` can break it off; false without running it when
      already raised. */
  template <class Call>
  bool Guard(std::function<void()> stop, Call&& call) {
    {
      absl::MutexLock lock(&mutex_);
      if (is_raised_)
        return false;
      stop_ = std::move(stop);
    }
    call();
    absl::MutexLock lock(&mutex_);
    stop_ = nullptr;
    return true;
  }

 private:
  mutable absl::Mutex mutex_;
  bool is_raised_ ABSL_GUARDED_BY(mutex_) = false;
  std::function<void()> stop_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace chicory

#endif  // MODULES_SERVING_INTERRUPT_H_
