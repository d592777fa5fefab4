# Tests that a gateway sends nothing more to an upstream which announces in its
# responses that it leaves, or which asks for rest with 503 and Retry-After, while the
# store says that both are ready.
. "$(dirname "$0")/gateway_lib.sh"
platform --set engines=2 --set desks=3
TIMEOUT_MS=15000 configure 2
PEER_PORT=$((21000 + RANDOM % 20000))
SEEDS="127.0.0.11:1, 127.0.0.12:1"
for i in 1 2; do IP=127.0.0.1$i gateway g$i; done
sleep 1

arrivals() { upstream_stats | sed 's/.*"arrivals":{\([^}]*\)}.*/\1/' | tr ',' '\n' | sed -n "s/^\"$1\":\([0-9]*\)\$/\1/p" | grep . || echo 0; }
# calls GATEWAY PREFIX N [CURL OPTIONS...]: makes N lookups and prints their statuses.
calls() {
  local gateway=$1 prefix=$2 count=$3 n
  shift 3
  for n in $(seq "$count"); do call "$gateway" /again/a -H "Request-Id: $prefix-$n" "$@" | sed -n 's/status=//p'; done | sort | uniq -c | tr '\n' ' '
}
# gets_requests UPSTREAM BEFORE: makes some lookups; true if one reached the upstream
# beyond the BEFORE that had.
gets_requests() {
  calls g1 "probe-$RANDOM" 6 >/dev/null
  [ "$(arrivals "$1")" -gt "$2" ]
}
streams() { for n in $(seq "$3"); do call "$1" /s/a -H "Request-Id: $2-$n" -H "$TOKENS" -d "$2 $n" | grep -c token4; done | sort | uniq -c | tr '\n' ' '; }

for mode in ok full; do
  say "an upstream that announces that it leaves, with $mode responses"
  upstream desk-1 "\"mode\":\"$mode\",\"announce\":{\"Server-Leaving\":\"1\"}"
  for g in g1 g2; do calls $g "hear-$mode-$g" 12 >/dev/null; done
  before=$(arrivals desk-1)
  [ "$before" -gt 0 ] || problem "$mode: nothing has reached desk-1"
  for store in ok silent; do
    store_mode $store
    for g in g1 g2; do expect "$mode, store $store: served by $g" "$(calls $g "left-$mode-$store-$g" 15)" '^ *15 200 $'; done
  done
  store_mode ok
  expect "$mode: requests after the announcement" "$(($(arrivals desk-1) - before))" '^0$'
  # The next incarnation is not bound by what the former one has said.
  upstream desk-1 '"mode":"ok","announce":{},"state":"gone"'
  sleep 1
  upstream desk-1 '"state":"ready","born":'"$RANDOM"
  wait_for 10 gets_requests desk-1 "$before" || problem "$mode: the next incarnation gets no requests"
done
expect "the log says so" "$(log_of g1 upstream_leaving)" 'request=hear-ok-g1-[0-9]+ upstream=desk-1'

say "an engine that leaves"
upstream engine-1 '"announce":{"Server-Leaving":"1"}'
streams g1 hear 6 >/dev/null
before=$(arrivals engine-1)
expect "served" "$(streams g1 after 8)" '^ *8 1 $'
expect "requests after the announcement" "$(($(arrivals engine-1) - before))" '^0$'
upstream engine-1 '"announce":{}'

say "an upstream that asks for rest"
# Longer than the calls below take on a busy machine.
REST_S=12
rest_begin=$SECONDS
upstream desk-2 '"mode":"full","announce":{"Retry-After":"'$REST_S'.5"}'
for g in g1 g2; do calls $g "refused-$g" 10 >/dev/null; done
before=$(arrivals desk-2)
for g in g1 g2; do expect "served by $g" "$(calls $g "rest-$g" 15)" '^ *15 200 $'; done
expect "requests within the rest" "$(($(arrivals desk-2) - before))" '^0$'
[ $((SECONDS - rest_begin)) -lt "$REST_S" ] || problem "the calls took longer than the rest"
upstream desk-2 '"mode":"ok","announce":{}'
# The gateways were told within a second or two after it began.
sleep $((REST_S + 4 - (SECONDS - rest_begin)))
wait_for 10 gets_requests desk-2 "$before" || problem "an upstream that has rested gets no requests"
expect "the log says so" "$(log_of g1 upstream_rests)" 'request=refused-g1-[0-9]+ upstream=desk-2 for_ms=12500'
expect "and the metrics" "$(curl -s "http://$(address g1 operators)/metrics")" '^chicory_upstream_announcements_total\{service="desk",what="rest"\} [1-9]'

say "all upstreams rest: rejected at once, with the time that is left"
for desk in 1 2 3; do upstream desk-$desk '"mode":"full","announce":{"Retry-After":"6.5"}'; done
calls g1 all 6 >/dev/null
begin=$(date +%s%N)
response=$(call g1 /once/a -i -H 'Request-Id: all-once' -d x)
took=$((($(date +%s%N) - begin) / 1000000))
[ "$took" -lt 300 ] || problem "rejected only after $took ms"
expect "rejected" "$response" 'status=503'
expect "until the first is back" "$response" 'Retry-After: [0-6]\.'
expect "not run" "$(run_count all-once)" '^0$'
response=$(call g1 /once/a -i -H 'Request-Id: all-short' -H 'Deadline-Ms: 300' -d x)
grep -q 'Retry-After' <<<"$response" && problem "a time after the caller's limit was sent"
for desk in 1 2 3; do upstream desk-$desk '"mode":"ok","announce":{}'; done
sleep 7
expect "served again" "$(calls g1 again 5)" '^ *5 200 $'

say "what is no time is ignored"
upstream desk-1 '"mode":"full","announce":{"Retry-After":"1000000000000000000000000000000"}'
for g in g1 g2; do expect "served by $g" "$(calls $g "odd-$g" 10)" '^ *10 200 $'; done
expect "and logged" "$(log_of g1 upstream_rest_ignored)$(log_of g2 upstream_rest_ignored)" "upstream=desk-1 value="
finish
