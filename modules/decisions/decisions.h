#ifndef MODULES_DECISIONS_DECISIONS_H_
#define MODULES_DECISIONS_DECISIONS_H_

/** Main header of the decisions module: the scheduling, limiting and recovery
    logic of instances, without side effects. Its headers include nothing about
    sockets, threads, clocks or random devices; time and random numbers are
    arguments. May depend on core and config only.

    Classes: Dispatcher, PlacementPolicy, LengthAwarePlacement,
    LeastBusyPlacement, PrefixIndex, RequestQueue, RetryBudget,
    CrashingRequestTracker, UpstreamTable, AccountLimits, ResponseAssembler,
    GossipNode, AtMostOnceCall, LeaseManager, OrphanCollector,
    PendingCancellations; for gateways SchedulerGroups, FleetScheduler,
    ScheduledUpstreamTable, InstanceRoster,
    CrashingParts, RequestLimits, RetryWindow, DrainPlan, SnapshotPlan,
    TransferLimit. */

#include "modules/decisions/dispatcher.h"
#include "modules/decisions/least_busy_placement.h"
#include "modules/decisions/length_aware_placement.h"

#endif  // MODULES_DECISIONS_DECISIONS_H_
