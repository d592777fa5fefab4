# Tests gateways whose seeds lead to no other gateway. Guards against each of them acting as
# the only scheduler and using the whole limit that an upstream names (review/9).
. "$(dirname "$0")/gateway_lib.sh"
LIMIT=4
DEADLINE_MS=4000

# live GATEWAY: prints how many instances it believes to live.
live() { curl -s -m 2 "http://$(address "$1" operators)/metrics" | sed -n 's/^chicory_live_instances \([0-9]*\).*/\1/p'; }
knows_all() {
  local g
  for g in $GATEWAYS; do [ "$(live "$g")" = "$1" ] || return 1; done
}
# begin ROW COUNT SEEDS: starts gateways; `self` as SEEDS is the address of each.
begin() {
  local i seeds=$3
  ROW=$1 GATEWAYS=""
  say "$ROW"
  PEER_PORT=$((21000 + RANDOM % 20000))
  platform --set engines=1 --set desks=1
  for i in $(seq "$2"); do
    [ "$3" != self ] || seeds="127.0.0.1$i:1"
    SEEDS=$seeds IP=127.0.0.1$i gateway "g$i"
    GATEWAYS="$GATEWAYS g$i"
  done
}
# keeps_limit: has the upstream name a limit while callers want ten times as much.
keeps_limit() {
  name_limit desk-1 $LIMIT
  load again 40 8
  holds "$ROW" desk-1
  name_none desk-1
}

while IFS='|' read -r name count seeds; do
  begin "$name" "$count" "$seeds"
  wait_for 5 knows_all "$count" || problem "$ROW: they do not find each other: $(for g in $GATEWAYS; do live "$g"; done)"
  keeps_limit
  at_least "$ROW: served" "$(field served "$LOAD")" $((LIMIT * 5))
  for g in $GATEWAYS; do stop "$g"; done
  fleet_end
done <<'ROWS'
two seeds at which nobody answers|3|127.0.0.98:1, 127.0.0.99:1
itself as the only seed|5|self
a gateway without seeds beside others|3|127.0.0.11:1
ROWS

begin "the store is away while they look" 3 "127.0.0.98:1, 127.0.0.99:1"
store_mode down
sleep 3
keeps_limit
store_mode ok
wait_for 12 knows_all 3 || problem "$ROW: they do not find each other after it"
keeps_limit
at_least "$ROW: served after it" "$(field served "$LOAD")" $((LIMIT * 5))

say "one that is gone is not searched for ever, and one that comes back is found"
kill -KILL "$(cat "$FLEET/g3.pid")"
GATEWAYS="g1 g2"
wait_for 8 knows_all 2 || problem "$ROW: g3 is still believed to live"
SEEDS="127.0.0.98:1" IP=127.0.0.13 gateway g3
GATEWAYS="g1 g2 g3"
wait_for 5 knows_all 3 || problem "$ROW: g3 is not found when it has come back"
finish
