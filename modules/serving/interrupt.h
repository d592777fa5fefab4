#ifndef MODULES_SERVING_INTERRUPT_H_
#define MODULES_SERVING_INTERRUPT_H_

#include <functional>
#include <utility>

#include "absl/synchronization/mutex.h"

namespace chicory {

/** Lets one thread abort a blocking call that another thread is making.

    The thread that makes the calls owns the object and wraps each call in
    Guard(). Any other thread may call Raise(). Thread-safe. */
class Interrupt {
 public:
  /** Aborts the call in progress, and prevents later ones until Reset(). */
  void Raise() {
    absl::MutexLock lock(&mutex_);
    is_raised_ = true;
    if (abort_call_)
      abort_call_();
  }

  bool is_raised() const {
    absl::MutexLock lock(&mutex_);
    return is_raised_;
  }

  /** Clears the raised state. Only for the owner, between two calls. */
  void Reset() {
    absl::MutexLock lock(&mutex_);
    is_raised_ = false;
  }

  /** Runs `call` unless the interrupt has been raised.

      @param abort_call  makes `call` return early; called by Raise() on the
                         raising thread, with the lock of this object held
      @param call        the blocking call; runs on the calling thread
      @returns  false if `call` did not run, because the interrupt was raised
                before */
  template <class Call>
  bool Guard(std::function<void()> abort_call, Call&& call) {
    {
      absl::MutexLock lock(&mutex_);
      if (is_raised_)
        return false;
      abort_call_ = std::move(abort_call);
    }
    call();
    absl::MutexLock lock(&mutex_);
    abort_call_ = nullptr;
    return true;
  }

 private:
  mutable absl::Mutex mutex_;
  bool is_raised_ ABSL_GUARDED_BY(mutex_) = false;
  std::function<void()> abort_call_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace chicory

#endif  // MODULES_SERVING_INTERRUPT_H_
