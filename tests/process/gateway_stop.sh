# Tests a planned stop with connections and requests in each state: each ends in a
# response that tells the truth or in a close that promises nothing. Guards against
# requests that waited for an upstream and got no response, and against requests that
# were taken long after the stop had begun and then cut off, and against requests on kept
# or new connections that were read and got nothing.
. "$(dirname "$0")/gateway_lib.sh"
platform --set engines=2 --set desks=2
TIMEOUT_MS=15000 configure 2 '
  {"name":"slow","host":"a.example","path-prefix":"/slow/","kind":"non_idempotent","timeout-ms":15000,"target-latency-ms":300,"service":"desk","max-attempts":1,"anonymous":true},
  {"name":"fixed","host":"a.example","path-prefix":"/fixed/","kind":"streaming","timeout-ms":15000,"target-latency-ms":300,"gap-aim-ms":250,"service":"engines","max-attempts":1,"anonymous":true},
  {"name":"archive","host":"a.example","path-prefix":"/archive/","kind":"streaming","timeout-ms":15000,"target-latency-ms":3000,"gap-aim-ms":1000,"service":"engines","max-attempts":3,"stream-resume":true,"anonymous":true},'
PEER_PORT=$((21000 + RANDOM % 20000))
SEEDS="127.0.0.11:1, 127.0.0.12:1"
for i in 1 2 3 4 5 6; do IP=127.0.0.1$i gateway g$i; done
sleep 1

# stop_cells GROUP GATEWAY: stops the gateway with the connections of a group.
stop_cells() {
  say "a planned stop, $1"
  timeout 40 node tests/node/stop_cells.mjs "$1" "$(address "$2" callers)" "$(address g3 callers)" "$CONTROL" "$(cat "$FLEET/$2.pid")" ||
    problem "a planned stop, $1"
  wait_for 3 sh -c "! kill -0 $(cat "$FLEET/$2.pid") 2>/dev/null" || problem "$2 has not ended"
}
stop_cells short g1
expect "the log says why" "$(log_of g1 request_ended)" 'request=waiting-1 status=503 reason=shutting_down'
stop_cells soon g4
stop_cells late g5
stop_cells frozen g6
stop_cells long g2
expect "the log says why" "$(log_of g2 request_ended)" 'request=endless-1 status=0 reason=shutting_down'
expect "and how much was cut" "$(log_of g2 stop_time_over)" 'in_flight=1'
finish
