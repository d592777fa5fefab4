# Tests that real gateways together retry within the shared budget, whether they know
# of each other or not. The stand-in counts what arrives at the upstreams, which refuse
# everything, so that each request is retried as often as a gateway allows.
. "$(dirname "$0")/gateway_lib.sh"
RETRY_RATIO=0.2 RETRY_SLACK=30 RETRY_WINDOW=60s
WINDOW_S=60
INSTANCES="1 2 3"
REQUESTS_PER_INSTANCE=20
platform --set engines=1 --set desks=3
PEER_PORT=$((21000 + RANDOM % 20000))

repeats() { upstream_stats | sed 's/.*"repeats":\([0-9]*\).*/\1/'; }
# send_all PREFIX: sends REQUESTS_PER_INSTANCE lookups to each gateway, all at once.
send_all() {
  local i n
  for i in $INSTANCES; do
    for n in $(seq "$REQUESTS_PER_INSTANCE"); do echo "http://$(address "g$i" callers)/again/a $1-$i-$n"; done
  done | xargs -P 9 -L 1 sh -c 'curl -s -o /dev/null -m 8 -H "'"$HOST"'" -H "Request-Id: $1" "$0"'
}
start_all() { for i in $INSTANCES; do IP=127.0.0.1$i launch g$i; done; }
all_are_ready() { for i in $INSTANCES; do is_ready g$i || return 1; done; }
# check_budget ROUNDS BEFORE: checks the repeats since there were BEFORE against the
# budget of one window, for ROUNDS calls of send_all.
check_budget() {
  local requests=$(($1 * 3 * REQUESTS_PER_INSTANCE)) repeats allowed
  repeats=$(($(repeats) - $2))
  allowed=$((requests / 5 + RETRY_SLACK))
  say "repeats: $repeats, allowed: $allowed"
  [ "$repeats" -le "$allowed" ] || problem "$repeats repeats of $requests requests, allowed: $allowed"
  [ "$repeats" -gt 0 ] || problem "no request was retried"
  [ $((SECONDS - begin)) -lt "$WINDOW_S" ] || problem "the requests took longer than the window"
}
for i in 1 2 3; do upstream desk-$i '"mode":"full"'; done

# Guards against gateways that each use the whole slack, since they hear of no other.
say "gateways that cannot reach each other"
SEEDS="127.0.0.21:1, 127.0.0.22:1, 127.0.0.23:1"
start_all
wait_for 10 all_are_ready || problem "not ready"
sleep 5
begin=$SECONDS before=$(repeats)
send_all alone
check_budget 1 "$before"
for i in $INSTANCES; do signal g$i KILL; done

# Guards against gateways that use their shares of the slack again after a restart.
say "gateways that are killed and start again, twice"
SEEDS="127.0.0.11:1, 127.0.0.12:1, 127.0.0.13:1"
start_all
wait_for 10 all_are_ready || problem "not ready"
sleep 5
begin=$SECONDS before=$(repeats)
send_all first
for round in 1 2; do
  for i in $INSTANCES; do signal g$i KILL; done
  start_all
  wait_for 10 all_are_ready || problem "not ready after round $round"
  send_all "again-$round"
done
check_budget 3 "$before"
finish
