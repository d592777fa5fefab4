#ifndef MODULES_GATEWAY_INSTANCE_DIRECTORY_H_
#define MODULES_GATEWAY_INSTANCE_DIRECTORY_H_

#include <map>
#include <vector>

#include "absl/time/time.h"
#include "modules/core/event_log.h"
#include "modules/gateway/gateway_inputs.h"
#include "modules/peers/membership.h"

namespace chicory {

/** Lets instances that know no others find them by a list at the source.

    An instance that is to be listed adds itself and then reads the list, so
    that of two instances at least the later one finds the other. It counts as
    listed only once it has read so. The list is read again now and then: parts
    of the fleet may have lost each other. The first in order of each part
    removes the instances that are gone. Must be used on the event loop's
    thread.

    @see Membership::ShouldBeListed */
class InstanceDirectory {
 public:
  /** Time between two readings once this instance is listed. */
  static constexpr absl::Duration kReadInterval = absl::Seconds(10);
  /** The same before that; doubles with each try up to kMaxRetryInterval. */
  static constexpr absl::Duration kRetryInterval = absl::Milliseconds(500);
  static constexpr absl::Duration kMaxRetryInterval = absl::Seconds(4);
  /** Time without a sign of a listed instance after which it is removed. */
  static constexpr absl::Duration kMaxAbsence = absl::Seconds(60);

  InstanceDirectory(GatewaySource* source,
                    Membership* membership,
                    EventLog& log);

  /** Called with the instances that the source lists. */
  void OnInstances(const std::vector<InstanceIp>& instances, absl::Time now);
  /** Must be called several times a second. */
  void Tick(absl::Time now);
  /** Removes this instance from the list, because it shuts down. */
  void Leave();

 private:
  /** Orders the removal of listed instances that have been gone for long. */
  void RemoveAbsent(const std::vector<InstanceIp>& others, absl::Time now);

  GatewaySource* source_;
  Membership* membership_;
  EventLog& log_;
  bool is_listed_ = false;
  absl::Time next_reading_ = absl::InfinitePast();
  absl::Duration retry_interval_ = kRetryInterval;
  /** Listed instances that are not live, and since when. */
  std::map<InstanceIp, absl::Time> absent_since_;
};

}  // namespace chicory

#endif  // MODULES_GATEWAY_INSTANCE_DIRECTORY_H_
