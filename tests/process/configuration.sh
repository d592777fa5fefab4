# A published configuration takes effect on all instances within seconds and is
# never reverted: with concurrent publishers, a lost response, stale reads, an
# outage of the object API during which a new instance gets the configuration
# from its peers, and instances that cannot get one.
. "$(dirname "$0")/lib.sh"
fleet 3 1
revision() { curl -s -m 5 "http://$(operator_address "$1")/metrics" | sed -n 's/^chicory_configuration_revision //p'; }
is_in_force() { for i in $2; do [ "$(revision "$i")" = "$1" ] || return 1; done; }
publish() { "$BIN/chicory_publish" publish --files "$1" --store "$STORE" "${@:2}" 2>&1; }
team() { # FOLDER TEAM ROUTE
  mkdir -p "$FLEET/$1"
  printf 'owner: {team: %s}\nroutes:\n  - {name: %s, path: /%s, kind: service, pool: desk}\n' "$2" "$3" "$3" >"$FLEET/$1/$2.chicory.yaml"
}

say "a change takes effect on every instance within seconds"
team a haddad stiles
expect publish "$(publish "$FLEET/a")" 'published revision=2'
wait_for 17 is_in_force 2 "1 2 3" || problem "revision 2: $(revision 1) $(revision 2) $(revision 3)"

say "concurrent publishes of two teams both succeed"
team b kaartwerk cards; team c haddad trails
publish "$FLEET/b" >"$FLEET/p1" & a=$!
publish "$FLEET/c" >"$FLEET/p2" & b=$!
wait $a $b
expect both "$(cat "$FLEET/p1" "$FLEET/p2" | sort | tr '\n' ' ')" 'revision=3 .*revision=4'

say "a second publish of a team on the same base revision is a conflict"
team d kaartwerk prints
out=$(publish "$FLEET/d" --base 2); code=$?
expect conflict "$out" 'conflict.*team kaartwerk published'
[ "$code" -eq 4 ] || problem "exit code $code, expected 4"

say "a publish whose response is lost is confirmed by reading back and not repeated"
set_store_faults '{"lose_answers":2}'
expect lost "$(publish "$FLEET/d")" 'published revision=5'
wait_for 17 is_in_force 5 "1 2 3" || problem "revision 5: $(revision 1) $(revision 2) $(revision 3)"

say "invalid files are refused with the position of the error"
mkdir -p "$FLEET/e"; printf 'owner: {team: haddad}\nroutes:\n  - {name: x, colour: red}\n' >"$FLEET/e/x.chicory.yaml"
out=$(publish "$FLEET/e"); code=$?
expect findings "$out" 'x.chicory.yaml:3:.*unknown-key'
[ "$code" -eq 5 ] || problem "exit code $code, expected 5"

say "stale reads do not revert the configuration"
set_store_faults '{"stale_reads":true}'
sleep 4
is_in_force 5 "1 2 3" || problem "configuration reverted: $(revision 1) $(revision 2) $(revision 3)"
set_store_faults '{}'

say "during an outage instances keep serving and a new one gets the configuration from its peers"
set_store_faults '{"down":true}'
expect serving "$(chat 1 '{"model":"stile-1","max_tokens":2,"messages":[{"role":"user","content":"hello"}]}')" '"completion_tokens":2'
start entry4 chicory_entry --set instance=entry4 --set data_centre=dc1 --set "object_api=$STORE" \
  --set peer_key=test --set gossip_period=200ms --set "seeds=[entry1@$(address entry1 peers)]" 2>/dev/null ||
  { printf 'settings:\n  seeds: ["entry1@%s"]\n' "$(address entry1 peers)" >"$FLEET/e4.yaml"
    start entry4 chicory_entry --config "$FLEET/e4.yaml" --set instance=entry4 --set data_centre=dc1 \
      --set "object_api=$STORE" --set peer_key=test --set gossip_period=200ms; }
wait_for 17 is_in_force 5 4 || problem "entry4 has revision $(revision 4)"

say "an instance without a configuration refuses requests"
start entry5 chicory_entry --set instance=entry5 --set data_centre=dc1 --set "object_api=$STORE" --set peer_key=test
sleep 2
entry_is_ready 5 >/dev/null && problem "entry5 reports that it is ready"
expect refused "$(chat 5 '{"model":"stile-1","messages":[{"role":"user","content":"x"}]}')" 'no_configuration.*not run'

say "an instance with a wrong peer key gets no configuration"
printf 'settings:\n  seeds: ["entry1@%s"]\n' "$(address entry1 peers)" >"$FLEET/e6.yaml"
start entry6 chicory_entry --config "$FLEET/e6.yaml" --set instance=entry6 --set data_centre=dc1 \
  --set "object_api=$STORE" --set peer_key=wrong --set gossip_period=200ms
sleep 3
entry_is_ready 6 >/dev/null && problem "entry6 reports that it is ready"
finish
