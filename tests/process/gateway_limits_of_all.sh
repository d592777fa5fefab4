# Tests that the gateways together keep the limits that upstreams name when all upstreams
# of a service do, and when the gateway that schedules is killed. Guards against upstreams
# that get more requests than they allow, and callers that wait for nothing (issue 35).
. "$(dirname "$0")/gateway_lib.sh"
platform --set engines=2 --set desks=3
TIMEOUT_MS=15000 configure 2
PEER_PORT=$((21000 + RANDOM % 20000))
SEEDS="127.0.0.11:1, 127.0.0.12:1"
for i in 1 2 3; do IP=127.0.0.1$i gateway g$i; done
GATEWAYS="g1 g2 g3"
DEADLINE_MS=8000
sleep 1

say "all upstreams of a service name limits"
upstream desk-3 '"state":"gone"'
for upstream in desk-1 desk-2 engine-1 engine-2; do name_limit $upstream 2; done
for kind in again s; do
  load $kind 30 12
  at_least "all limited, $kind: served, at 4 a second" "$(field served "$LOAD")" 29
  expect "all limited, $kind: the others refused, with a time to wait" "$LOAD" ' other=0 unsent=0 refused_without_time=0 '
  at_most "all limited, $kind: median time to a refusal, ms" "$(field median_refusal_ms "$LOAD")" 500
  at_most "all limited, $kind: longest time to a refusal, ms" "$(field slowest_refusal_ms "$LOAD")" $((DEADLINE_MS / 2))
done
for upstream in desk-1 desk-2 engine-1 engine-2; do holds "all limited" $upstream; done
for upstream in desk-1 desk-2 engine-1 engine-2; do name_none $upstream; done
upstream desk-3 '"state":"ready"'
for kind in again s; do load $kind 60 3; done

say "the instance that schedules is killed"
name_limit desk-1 2
killed=$(scheduler)
(
  sleep 5
  kill -KILL "$(cat "$FLEET/$killed.pid")"
) &
load again 60 12
wait $!
expect "the scheduler is killed: served by the others" "$LOAD" ' refused=0 other=[0-9] '
holds "the scheduler is killed" desk-1
GATEWAYS=${GATEWAYS/$killed/}
find_busy_engine
name_limit $busy 2
load s 60 8
all_served "without the scheduler"
holds "without the scheduler" $busy
say "an instance that knows of no limit comes back"
IP=127.0.0.1${killed#g} gateway "${killed}again"
GATEWAYS="$GATEWAYS ${killed}again"
for kind in again s; do
  load $kind 60 7.5
  all_served "an instance that came back, $kind"
done
holds "an instance that came back" desk-1
holds "an instance that came back" $busy
finish
