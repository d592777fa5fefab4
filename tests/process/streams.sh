# Every caller gets its complete response and no engine memory leaks when engines
# are killed or frozen, entries are killed and callers disconnect.
. "$(dirname "$0")/lib.sh"
fleet 3 3
load() { timeout 100 "$BIN/chicory_load" --key walkers.demo --model stile-1 "$@"; }
all_memory_is_free() { for i in 1 2 3; do memory_is_free "$i" || return 1; done; }

say "without faults all responses are correct"
expect "no faults" "$(load --target "$(caller_address 1)" --stream --streams 8 --requests 5 --seconds 30)" 'right=40 wrong=0 refused=0 broken=0'

say "an engine is killed mid-stream: responses resume at the right token"
load --target "$(caller_address 1)" --stream --streams 12 --requests 2 --answer 100 --seconds 60 >"$FLEET/a" & a=$!
sleep 1
signal engine1 KILL
wait $a
expect killed "$(cat "$FLEET/a")" 'right=24 wrong=0 refused=0 broken=0'
start_engine 1

say "an engine is frozen mid-stream"
wait_for 20 has_live_upstreams 2 4
load --target "$(caller_address 2)" --stream --streams 12 --requests 2 --answer 100 --seconds 60 >"$FLEET/a" & a=$!
sleep 1
signal engine2 STOP
wait $a
expect frozen "$(cat "$FLEET/a")" 'right=24 wrong=0 refused=0 broken=0'
signal engine2 CONT
wait_for 60 all_memory_is_free || problem "engine memory is held after the freeze: $(free_memory 1) $(free_memory 2) $(free_memory 3)"

say "callers disconnect: engine memory is released"
for i in $(seq 6); do
  timeout 1 curl -s -N -H "$KEY" -d '{"model":"stile-1","stream":true,"max_tokens":2000,"messages":[{"role":"user","content":"[[answer 2000]] '"$i"'"}]}' \
    "http://$(caller_address 3)/v1/chat/completions" >/dev/null &
done
sleep 1.5
wait_for 20 all_memory_is_free || problem "engine memory is held after disconnects: $(free_memory 1) $(free_memory 2) $(free_memory 3)"

say "an entry is killed mid-stream: other entries release its engine memory"
for i in $(seq 6); do
  curl -s -N -m 60 -H "$KEY" -d '{"model":"stile-1","stream":true,"max_tokens":2000,"messages":[{"role":"user","content":"[[answer 2000]] '"$i"'"}]}' \
    "http://$(caller_address 3)/v1/chat/completions" >/dev/null &
done
sleep 1
all_memory_is_free && problem "no request was running"
signal entry3 KILL
wait_for 90 all_memory_is_free || problem "engine memory is held after the kill: $(free_memory 1) $(free_memory 2) $(free_memory 3)"

say "a prompt of a million tokens is served by a group of engines"
{ printf '{"model":"stile-1","max_tokens":8,"messages":[{"role":"user","content":"'; head -c 3600000 /dev/zero | tr '\0' 's'; printf '"}]}'; } >"$FLEET/archive.json"
expect archive "$(chat 1 "@$FLEET/archive.json")" '"completion_tokens":8'
wait_for 20 all_memory_is_free || problem "engine memory is held after the long prompt: $(free_memory 1) $(free_memory 2) $(free_memory 3)"
finish
