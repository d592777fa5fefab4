# For runs by hand: stops six of seven gateways under the load of tests/node/stop_load.mjs
# and prints how the requests ended and what the gateways logged of their stops. SLOWER=N
# makes the streams N times as long.
. "$(dirname "$0")/process/gateway_lib.sh"
platform --set engines=3 --set desks=3
configure 2 '{"name":"long","host":"a.example","path-prefix":"/long/","kind":"streaming","timeout-ms":15000,"target-latency-ms":300,"gap-aim-ms":250,"service":"engines","max-attempts":1,"anonymous":true},'
upstream engine-1 '"pace_ms":'$((500 * ${SLOWER:-1}))
upstream engine-2 '"pace_ms":'$((400 * ${SLOWER:-1}))
upstream engine-3 '"pace_ms":'$((300 * ${SLOWER:-1}))
PEER_PORT=$((21000 + RANDOM % 20000))
SEEDS="127.0.0.11:1, 127.0.0.12:1"
gateways=()
for i in 1 2 3 4 5 6 7; do
  IP=127.0.0.1$i gateway g$i
  gateways+=("$(address g$i callers)=$(cat "$FLEET/g$i.pid")")
done
sleep 1
timeout 60 node tests/node/stop_load.mjs "$CONTROL" "${gateways[@]}" || problem "the callers have not ended"
for i in 1 2 3 4 5 6; do
  log_of g$i stop_time_over
  log_of g$i stopped
done
finish
