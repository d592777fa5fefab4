# Tests that the gateways together send an upstream no more requests than the limit
# that it names in its responses allows, and that callers are served by the others or
# refused at once meanwhile. Guards against an upstream that had named 2 a second and
# got 21 requests in 4 s, where 17 are allowed (issue 35).
. "$(dirname "$0")/gateway_lib.sh"
platform --set engines=2 --set desks=3
TIMEOUT_MS=15000 configure 2
PEER_PORT=$((21000 + RANDOM % 20000))
SEEDS="127.0.0.11:1, 127.0.0.12:1"
for i in 1 2 3; do IP=127.0.0.1$i gateway g$i; done
GATEWAYS="g1 g2 g3"
DEADLINE_MS=8000
sleep 1

# field NAME LINE: prints the value of NAME=VALUE in LINE; 0 if there is none.
field() { tr ' ' '\n' <<<"$2" | sed -n "s/^$1=//p" | grep . || echo 0; }
# at_least NAME VALUE MINIMUM, at_most NAME VALUE MAXIMUM: check numbers.
at_least() { awk -v a="$2" -v b="$3" 'BEGIN { exit !(a >= b) }' || problem "$1: $2, expected at least $3"; }
at_most() { awk -v a="$2" -v b="$3" 'BEGIN { exit !(a <= b) }' || problem "$1: $2, expected at most $3"; }
# load KIND RATE SECONDS: sends requests to all gateways; the result is in LOAD.
load() {
  local g addresses=()
  for g in $GATEWAYS; do addresses+=("$g=$(address "$g" callers)"); done
  LOAD=$(node tests/node/limit_load.mjs load "$1" "$2" "$3" "$DEADLINE_MS" "${addresses[@]}")
  echo "load: $LOAD"
}
name_limit() { upstream "$1" '"announce":{"Server-Limit":"'"$2"'"}'; }
name_none() { upstream "$1" '"announce":{}'; }
# holds NAME UPSTREAM: checks the limit that the upstream named last.
holds() {
  local line
  line=$(node tests/node/limit_load.mjs check "$CONTROL" "$2") || problem "$1: more requests than allowed: $line"
  echo "limit: $line"
  # Otherwise nothing would show that the limit was raised or is over.
  at_least "$1: requests at $2" "$(field requests "$line")" 1
}
all_served() { expect "$1: all served" "$LOAD" ' refused=0 other=0 unsent=0 '; }
# find_busy_engine: sets `busy` to the engine that gets the most streams and `other` to
# the other one. Few engines serve as many streams as they can, so that one may get none.
find_busy_engine() {
  load s 60 2
  busy=engine-1
  [ "$(field engine-1 "$LOAD")" -ge "$(field engine-2 "$LOAD")" ] || busy=engine-2
  other=engine-$((3 - ${busy#engine-}))
}
# Name of the gateway that schedules, by its address in the log of g3.
scheduler() { echo "g$(log_of g3 membership_changed | sed -n 's/.* scheduler=127\.0\.0\.1\([0-9]\).*/\1/p' | tail -1)"; }

say "a plain upstream of three that names a limit"
name_limit desk-1 2
load again 60 10
all_served "one of three"
holds "one of three" desk-1
say "no burst after a pause"
sleep 5
load again 120 3
all_served "after a pause"
holds "after a pause" desk-1
say "limits that change"
for limit in 0.5 5 0; do
  name_limit desk-1 $limit
  load again 60 7.5
  all_served "changed to $limit"
  holds "changed to $limit" desk-1
done
say "the limit is named no more"
name_none desk-1
load again 60 4
load again 60 4
all_served "no limit"
at_least "no limit: served by desk-1, of a third" "$(field desk-1 "$LOAD")" 48
say "a limit of the next incarnation"
name_limit desk-1 2
load again 60 3
upstream desk-1 '"state":"ready","born":'"$RANDOM"
load again 60 7.5
all_served "the next incarnation"
holds "the next incarnation" desk-1

say "the store is silent"
name_none desk-1
load again 60 2
store_mode silent
name_limit desk-2 2
load again 60 7.5
all_served "store silent"
holds "store silent" desk-2
store_mode ok
name_none desk-2

say "what is no limit is ignored"
for value in '""' '"NaN"' '"-1"' '"1e999"' '"2, 3"' '["2","3"]'; do
  upstream desk-3 '"announce":{"Server-Limit":'"$value"'}'
  load again 60 2
  all_served "$value"
  at_least "$value: served by desk-3, of a third" "$(field desk-3 "$LOAD")" 24
done
name_none desk-3

say "an engine of two that names a limit"
for i in 1 2; do upstream engine-$i '"pace_ms":10'; done
find_busy_engine
name_limit $busy 2
load s 60 10
all_served "an engine of two"
holds "an engine of two" $busy
say "the other engine names a limit, the first does no more"
name_none $busy
name_limit $other 2
load s 60 8
all_served "the other engine"
holds "the other engine" $other
at_least "the other engine: served by the first, of 480" "$(field $busy "$LOAD")" 400
name_none $other

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
