# Guards against requests that a stopping gateway took and then cut without an answer:
# sends requests at many times of a planned stop, on kept and new connections, with
# quick upstreams and with upstreams that need longer than the stop lasts.
. "$(dirname "$0")/gateway_lib.sh"
platform --set engines=2 --set desks=2
TIMEOUT_MS=15000 configure 2 '
  {"name":"fixed","host":"a.example","path-prefix":"/fixed/","kind":"streaming","timeout-ms":15000,"target-latency-ms":300,"gap-aim-ms":250,"service":"engines","max-attempts":1,"anonymous":true},
  {"name":"archive","host":"a.example","path-prefix":"/archive/","kind":"streaming","timeout-ms":15000,"target-latency-ms":3000,"gap-aim-ms":1000,"service":"engines","max-attempts":3,"stream-resume":true,"anonymous":true},'
PEER_PORT=$((21000 + RANDOM % 20000))
SEEDS="127.0.0.11:1, 127.0.0.12:1"
for i in 1 2 3; do IP=127.0.0.1$i gateway g$i --set stop_within=8s; done
sleep 1

# late_requests GROUP GATEWAY: stops the gateway while requests of a group come.
late_requests() {
  say "late requests, $1 upstreams"
  timeout 40 node tests/node/late_requests.mjs "$1" "$(address "$2" callers)" "$(address g3 callers)" "$CONTROL" "$(cat "$FLEET/$2.pid")" ||
    problem "late requests, $1 upstreams"
  wait_for 3 sh -c "! kill -0 $(cat "$FLEET/$2.pid") 2>/dev/null" || problem "$2 has not ended"
}
late_requests quick g1
expect "late bodies are refused" "$(log_of g1 request_ended)" 'request=quick-chunks-once-4 status=503 reason=shutting_down'
late_requests slow g2
expect "what may have run is no refusal" "$(log_of g2 request_ended)" 'request=slow-new-once-2 status=502 reason=shutting_down'
finish
