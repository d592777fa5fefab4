# A planned stop interrupts no request: entries are stopped one after another
# under load.
. "$(dirname "$0")/lib.sh"
fleet 3 2
entries=""
for i in 1 2 3; do entries="$entries${entries:+, }$(caller_address $i)@$(operator_address $i)"; done
# The balancer also knows the replacements.
for i in 4 5 6; do start_entry $i; entries="$entries, $(caller_address $i)@$(operator_address $i)"; done
printf 'settings:\n  entries: [%s]\n' "$entries" >"$FLEET/balancer.yaml"
start balancer stand_in_balancer --config "$FLEET/balancer.yaml"
for i in 4 5 6; do wait_for 30 has_live_upstreams $i 3 || problem "entry$i does not have its upstreams"; done
timeout 120 "$BIN/chicory_load" --target "$(address balancer balancer)" --key walkers.demo --model stile-1 \
  --stream --streams 12 --answer 40 --seconds 25 --requests 100000 --retries 1 >"$FLEET/a" & a=$!
sleep 2
for i in 1 2 3; do
  say "planned stop of entry$i"
  stop "entry$i"
  expect stopped "$(tail -n 1 "$FLEET/entry$i.log")" 'event=stopped'
done
wait $a
# A connection that the balancer keeps open to a stopped instance may be closed
# between two requests; the caller then retries (--retries 1). No request in
# progress is interrupted.
expect "no request lost" "$(cat "$FLEET/a")" 'wrong=0 refused=0 broken=0'
say "$(cat "$FLEET/a")"
finish
