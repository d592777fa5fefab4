#ifndef MODULES_GATEWAY_SNAPSHOT_DELEGATE_H_
#define MODULES_GATEWAY_SNAPSHOT_DELEGATE_H_

#include "modules/decisions/snapshot_plan.h"
#include "modules/peers/snapshot.h"

namespace chicory {

/** The content in force on this instance, which SnapshotServer passes on and
    SnapshotFetcher replaces. Called on the event loop's thread. */
class SnapshotDelegate {
 public:
  virtual ~SnapshotDelegate() = default;
  /** Returns the versions of the content in force. */
  virtual SnapshotPlan::Content ContentInForce() const = 0;
  /** Returns the content in force, which must be complete. */
  virtual Snapshot MakeSnapshot(absl::Time now) const = 0;
  /** Puts those parts of a peer's content in force that are newer. */
  virtual void AdoptSnapshot(Snapshot snapshot, InstanceIp peer) = 0;
};

}  // namespace chicory

#endif  // MODULES_GATEWAY_SNAPSHOT_DELEGATE_H_
