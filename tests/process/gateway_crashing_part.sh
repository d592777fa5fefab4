# Tests three gateways while requests that have nothing in common but one part of
# their prompts crash every engine that begins to respond to them.
. "$(dirname "$0")/gateway_lib.sh"
ENGINES=12
platform --set "engines=$ENGINES" --set desks=0
PEER_PORT=$((21000 + RANDOM % 20000))
SEEDS="127.0.0.11:1, 127.0.0.12:1"
for i in 1 2 3; do IP=127.0.0.1$i gateway g$i; done

count_of() { upstream_stats | grep -o "\"$1\":[0-9]*" | head -1 | cut -d: -f2; }
# prompt GATEWAY ID PARTS: sends a prompt with a body and a last part of its own.
prompt() {
  call "$1" /s/a -H "Request-Id: $2" -H "$TOKENS" -H "Prefix-Hash: $3,ff$RANDOM$RANDOM:40" -d "prompt $2"
}
crashing() { prompt "g$(($1 % 3 + 1))" "crashing-$1" "aa01:800,dead07:400"; }
sound() { prompt "g$(($1 % 3 + 1))" "sound-$1" "aa01:800,bb0$(($1 % 4)):400"; }

say "sound prompts are served before the first crash"
for n in $(seq 12); do expect "sound $n" "$(sound "$n")" 'status=200'; done

say "requests with the part come until five engines have crashed"
for i in $(seq "$ENGINES"); do upstream "engine-$i" '"crashing_part":"dead07"'; done
callers=()
for n in $(seq 60); do
  crashing "$n" >/dev/null &
  callers+=($!)
  sound $((100 + n)) >/dev/null &
  callers+=($!)
  sleep 0.15
  [ "$(count_of crashes)" -lt 5 ] || break
done
sleep 3
wait "${callers[@]}"
received=$(count_of crashing_requests)
crashes=$(count_of crashes)
[ "$crashes" -ge 3 ] || problem "only $crashes engines crashed; the test shows nothing"

# expect_refused NAME ALLOWED: reports if more requests with the part have reached
# engines since `received` was set.
expect_refused() {
  local later=$(($(count_of crashing_requests) - received))
  [ "$later" -le "$2" ] || problem "$1: $later more requests with the part reached engines"
}

say "later they reach no engine, and sound prompts are served at the first attempt"
sleep 1.5
for n in $(seq 201 215); do
  expect "refused $n" "$(crashing "$n" -i)" 'status=503'
  expect "sound $n" "$(sound "$n")" 'status=200'
  expect "runs once" "$(run_count "sound-$n")" '^1$'
done
expect_refused "all gateways" 3
expect "logged" "$(cat "$FLEET"/g?.out)" 'event=request_refused request=crashing-2[0-9]* cause=crashes_upstreams'

say "a gateway that starts later, or again, refuses them too"
IP=127.0.0.14 gateway g4
kill -KILL "$(cat "$FLEET/g1.pid")"
IP=127.0.0.11 gateway g1
sleep 2
for n in $(seq 301 306); do
  prompt g4 "late-$n" "aa02:800,dead07:400" >/dev/null
  prompt g1 "late-again-$n" "aa02:800,dead07:400" >/dev/null
  expect "sound $n" "$(sound "$n")" 'status=200'
done
expect_refused "restarted gateways" 3
finish
