#!/usr/bin/env bash
# Measures the overhead of an entry: latency added to that of the engine,
# requests and streamed tokens per second and core, and memory with up to 200
# streams. Prints key=value lines.
. "$(dirname "$0")/../tests/process/lib.sh"
# The files of examples/tour with practically unlimited client accounts.
FILES=$(mktemp -d)
cp -r examples/tour/. "$FILES"
sed -i 's/requests_per_second: .*/requests_per_second: 1000000/; s/tokens_per_second: .*/tokens_per_second: 1000000000/' "$FILES/assistant/assistant.chicory.yaml"
fleet 1 1 --set speed=1000 --set memory_tokens=100000000
engine=$(address engine1 engine)
entry=$(caller_address 1)
pid=$(cat "$FLEET/entry1.pid")
load() { "$BIN/chicory_load" --key walkers.demo --model stile-1 "$@"; }
cpu_ticks() { awk '{print $14 + $15}' "/proc/$pid/stat"; }
say "one request at a time, responses of one token; five pairs"
for _ in 1 2 3 4 5; do
  echo "direct $(load --target "$engine" --direct --seconds 2 --answer 1)"
  echo "entry  $(load --target "$entry" --seconds 2 --answer 1)"
done
say "requests per second and core of the entry"
before=$(cpu_ticks); out=$(load --target "$entry" --streams 16 --seconds 5 --answer 1); after=$(cpu_ticks)
echo "requests $out cpu_seconds=$(awk "BEGIN{print ($after-$before)/100}")"
say "streamed tokens per second and core of the entry"
before=$(cpu_ticks); out=$(load --target "$entry" --stream --streams 16 --seconds 5 --answer 500); after=$(cpu_ticks)
echo "tokens $out cpu_seconds=$(awk "BEGIN{print ($after-$before)/100}")"
say "memory when idle and with streams"
set_engine_faults 1 '{"slow":1000}'
for streams in 1 50 100 200; do
load --target "$entry" --stream --streams $streams --seconds 3 --answer 200 >/dev/null & a=$!
sleep 3
echo "memory in_flight=$(curl -s "http://$(operator_address 1)/metrics" | sed -n 's/^chicory_requests_in_flight //p') $(grep -E 'VmRSS|Threads' "/proc/$pid/status" | tr -s '\t ' ' ' | tr '\n' ' ')"
kill $a 2>/dev/null
sleep 1
done
finish
