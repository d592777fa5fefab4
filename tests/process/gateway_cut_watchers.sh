# Tests gateways of which those that watch the store for all are cut off from it without a
# sign. Guards against the others using an old configuration, or an upstream that leaves,
# for longer than two seconds because they rely on what a cut gateway says (review/7).
. "$(dirname "$0")/gateway_lib.sh"
platform --set engines=1 --set desks=3
COUNT=6
node tests/node/store_links.mjs "$STORE" $COUNT >"$FLEET/links.out" 2>"$FLEET/links.log" &
FLEET_PIDS+=($!)
wait_for 10 grep -q '^listening' "$FLEET/links.out" || problem "the links did not start"
links() { curl -s -m 5 "http://$(address links control)/$1"; }
PEER_PORT=$((21000 + RANDOM % 20000))
SEEDS="127.0.0.11:1, 127.0.0.12:1, 127.0.0.13:1"
for i in $(seq $COUNT); do STORE=$(address links "link$i") IP=127.0.0.1$i gateway "g$i"; done
sleep 3
version=1
# change: publishes a configuration with a route named for its version.
change() {
  version=$((version + 1))
  configure $version '{"name":"new","host":"a.example","path-prefix":"/v'$version'/","kind":"idempotent","timeout-ms":2000,"service":"desk","anonymous":true},'
}
# knows_change GATEWAY UPSTREAM STATE: whether it has the last configuration, and that
# state of the upstream.
knows_change() {
  call "$1" "/v$version/a" -H "Request-Id: v$version-$1-$RANDOM" | grep -q 'status=200' &&
    log_of "$1" upstream_changed | tail -1 | grep -q "upstream=$2 .*state=$3"
}

few_watch() { [[ $(links watching | wc -w) =~ ^[123]$ ]]; }

# cut_and_change NAME MOST_CUT SECONDS STATE [EARLIER]: cuts off the gateways that watch
# and, up to MOST_CUT, others. SECONDS later the configuration and the STATE of an upstream
# change. Another change comes EARLIER seconds before the cut.
cut_and_change() {
  local name=$1 most=$2 before=$3 state=$4 earlier=${5:-} cut link begin late=""
  wait_for 15 few_watch || problem "$name: more gateways than needed watch the store: $(links watching)"
  cut=$(links watching)
  for link in $(seq $COUNT); do
    [ "$(wc -w <<<"$cut")" -ge "$most" ] || [[ " $cut " == *" $link "* ]] || cut="$cut $link"
  done
  [ -n "$cut" ] || problem "$name: no gateway watches the store"
  # Those that watch begin their watches anew at the same time.
  [ -z "$earlier" ] || { change && sleep "$earlier"; }
  links "cut/$(tr ' ' ',' <<<"${cut# }")" >/dev/null
  echo "$name: cut off: $cut"
  sleep "$before"
  begin=${EPOCHREALTIME/./}
  change
  upstream desk-3 '"state":"'"$state"'"'
  sleep "$(awk -v b="$begin" -v n="${EPOCHREALTIME/./}" 'BEGIN { print 2 - (n - b) / 1e6 }')"
  for link in $(seq $COUNT); do
    [[ " $cut " == *" $link "* ]] || knows_change "g$link" desk-3 "$state" || late="$late g$link"
  done
  [ -z "$late" ] || problem "$name: two seconds after a change these do not know it:$late"
  links heal >/dev/null
  sleep 4
}

say "those that watch are cut off just before a change"
cut_and_change "just before" 3 0.05 draining
say "after they have begun their watches together, because of another change"
cut_and_change "after a change" 3 0.05 ready 0.3
say "some time before a change"
cut_and_change "some time before" 3 1.4 draining
say "all but one"
cut_and_change "all but one" $((COUNT - 1)) 0.05 ready
finish
