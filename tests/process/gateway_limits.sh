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
# Few engines serve as many streams as they can: the other one gets some, and names its
# limit, only while the first is away.
upstream $busy '"state":"gone"'
name_limit $other 2
sleep 1
load s 30 3
upstream $busy '"state":"ready"'
sleep 2
load s 60 8
all_served "the other engine"
holds "the other engine" $other
at_least "the other engine: served by the first, of 480" "$(field $busy "$LOAD")" 400
finish
