# Tests that upstreams which accept no connection use up neither the attempts of a
# request nor the retry budget: such a request has reached no upstream.
. "$(dirname "$0")/gateway_lib.sh"
platform --set engines=1 --set desks=7
gateway g1

say "one of seven upstreams accepts connections"
for i in 1 2 3 4 5 6; do upstream "desk-$i" '"accepting":false'; done
expect "a call" "$(call g1 /once/a -H 'Request-Id: once-1' -d booking)" 'status=200'
expect "runs once" "$(run_count once-1)" '^1$'
for i in 1 2 3 4; do
  expect "lookup $i" "$(call g1 /again/a -H "Request-Id: again-$i")" 'status=200'
done
expect "no connection" "$(log_of g1 send_failed)" 'reason=no_connection .*again=1'

say "none accepts connections"
upstream desk-7 '"accepting":false'
expect "a call" "$(call g1 /once/a -i -H 'Request-Id: once-2' -d booking)" 'status=503'
expect "not run" "$(run_count once-2)" '^0$'
finish
