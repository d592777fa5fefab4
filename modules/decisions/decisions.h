#ifndef MODULES_DECISIONS_DECISIONS_H_
#define MODULES_DECISIONS_DECISIONS_H_

/** Face of the decisions module: every choice the system makes, as tables and
    systems that run over them. Includes no header of sockets, threads, clocks
    or random devices; time and random numbers are arguments. May include core
    and config.

    Classes: Dispatcher, PlacementPolicy, LengthAwarePlacement,
    LeastBusyPlacement, PrefixIndex, RequestQueue, RetryBudget,
   CrashingRequestTracker, UpstreamTable, AccountLimits, GossipNode,
   AtMostOnceCall, LeaseManager, OrphanCollector, ConfigurationGate; for
   gateways SchedulerGroups, FleetScheduler, ScheduledUpstreamTable,
   InstanceRoster, CrashHistory, RetryWindow. */

#include "modules/decisions/dispatcher.h"
#include "modules/decisions/least_busy_placement.h"
#include "modules/decisions/length_aware_placement.h"

#endif  // MODULES_DECISIONS_DECISIONS_H_
