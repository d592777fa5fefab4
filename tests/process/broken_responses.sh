# Tests that no broken response of an upstream reaches a caller as an answer, on both
# request paths: the caller gets a failure that promises nothing, in time, and a call that
# may not be repeated runs once. Beside upstreams that send without an end, the process
# stays within the memory of the smallest instance and serves other callers.
. "$(dirname "$0")/gateway_lib.sh"
. tests/process/callers_lib.sh
MEMORY_MB=112
DESCRIPTORS=1024
# Of which bodies may take three eighths.
REST_MB=$((MEMORY_MB * 5 / 8))
CROWD=64
BODY_BYTES=$((16 << 20))
UPLOAD_BYTES=$((12 << 20))

# configure_broken: publishes routes to the stand-in's services and to the broken ones.
configure_broken() {
  local engine='"engine":{"slots":64,"kv-capacity":3150000,"stride":51,"step_ms":0.85,"per_seq_ms":0.004,"context_per_k":0.003,"read_per_s":177000,"pairs_per_m":0.18,"chunk":2048}'
  control config '{"version":2,"routes":[
    {"name":"again","host":"a.example","path-prefix":"/again/","kind":"idempotent","timeout-ms":9000,"target-latency-ms":300,"service":"desk","max-attempts":3,"anonymous":true},
    {"name":"broken","host":"a.example","path-prefix":"/broken/","kind":"idempotent","timeout-ms":9000,"target-latency-ms":9000,"service":"broken-desk","max-attempts":2,"anonymous":true},
    {"name":"once","host":"a.example","path-prefix":"/broken-once/","kind":"non_idempotent","timeout-ms":9000,"target-latency-ms":9000,"service":"broken-desk","max-attempts":2,"anonymous":true},
    {"name":"stream","host":"a.example","path-prefix":"/broken-stream/","kind":"streaming","timeout-ms":9000,"target-latency-ms":5000,"gap-aim-ms":5000,"service":"broken-engines","max-attempts":1,"anonymous":true}],
    "services":[{"name":"engines","max-connections":100,'"$engine"'},{"name":"broken-engines","max-connections":100,'"$engine"'},
    {"name":"desk","max-connections":100},{"name":"broken-desk","max-connections":100}],
    "limits":{"max-header-bytes":8192,"max-body-bytes":'$BODY_BYTES',"header-timeout-ms":3000,"idle-timeout-ms":15000},
    "tenants":[{"name":"walkers","api-keys":["k1"]}]}'
}
# register NAME SERVICE: registers the broken upstream.
register() {
  control "entry/$1" '{"service":"'"$2"'","address":"'"$(address broken upstream)"'","zone":"dc1","version":"v1","cold-remaining-ms":0,"slots":64,"state":"ready","sequence":1,"born":1}'
}
# received ID: prints how many requests with the id the broken upstream has got.
received() { grep -c " id=$1\$" "$FLEET/broken.out"; }
# timed COMMAND...: runs the command and adds a line with the seconds that it took.
timed() {
  local begin=$EPOCHREALTIME
  "$@"
  awk -v a="$begin" -v b="$EPOCHREALTIME" 'BEGIN { printf "\nseconds=%.1f\n", b - a }'
}
# expect_failure CASE RESPONSE: checks that the caller got no answer of the upstream, long
# before the deadline. 502 and 504 promise nothing; 000 is a connection that was closed.
expect_failure() {
  expect "$1" "$2" '^status=(502|504|000)$'
  ! grep -qE 'part|wrong' <<<"$2" || problem "$1: the caller got ${2:0:200}"
  at_most "$1: seconds" "$(field seconds "$(tail -1 <<<"$2")")" 5
}

fleet_begin
head -c $UPLOAD_BYTES /dev/zero | tr '\0' 'u' >"$FLEET/upload"
node tests/node/broken_upstream.mjs >"$FLEET/broken.out" 2>"$FLEET/broken.log" &
FLEET_PIDS+=($!)
wait_for 10 grep -q '^listening' "$FLEET/broken.out" || problem "the broken upstream did not start"

# sizes KIND: prints the sizes of requests to be tried. A reset meets the write of a long one.
sizes() { if [[ $1 == reset* ]]; then echo short long; else echo short; fi; }
KINDS='reset reset_length reset_chunked status_000 status_042 status_600 status_20 status_2000 status_sign status_blank interim_000 name_blank name_control name_empty name_before_colon no_colon'
ENDLESS=$(sed -n 's/^  \(endless_[a-z_]*\): endless.*/\1/p' tests/node/broken_upstream.mjs)

start platform stand_in_platform --set engines=1 --set desks=2
STORE=$(address platform store)
CONTROL=$(address platform control)
configure_broken
for i in 1 2; do
  register "broken-desk-$i" broken-desk
  register "broken-engine-$i" broken-engines
done
gateway g1 --set memory_mb=$MEMORY_MB --set "max_descriptors=$DESCRIPTORS" --set log_detail=false
# call_gateway CASE PATH [CURL OPTIONS...]: calls the gateway; prints body, status and time.
call_gateway() {
  local name=$1 path=$2
  shift 2
  timed call g1 "$path" -H "Request-Id: $name" -H 'Deadline-Ms: 8000' -H 'Expect:' "$@"
}

say "the gateway: a sound response of the same upstream"
expect "sound" "$(call_gateway sound /broken/sound -d x)" '^wrong$'

say "the gateway: broken responses"
for kind in $KINDS; do
  for size in $(sizes "$kind"); do
    body=x
    [ $size = short ] || body=@$FLEET/upload
    expect_failure "$kind, $size" "$(call_gateway "again-$kind-$size" "/broken/$kind" --data-binary "$body")"
    expect_failure "once, $kind, $size" "$(call_gateway "once-$kind-$size" "/broken-once/$kind" --data-binary "$body")"
    expect "once, $kind, $size: runs" "$(received "once-$kind-$size")" '^1$'
    expect_failure "stream, $kind, $size" "$(call_gateway "stream-$kind-$size" "/broken-stream/$kind" -H "$TOKENS" --data-binary "$body")"
  done
done

# Guards against a part that is complete for the caller because the end of the connection was
# read before the failure of the write was known (resets 0 to 2 ms after the response).
UPLOADS=150
# An entry avoids upstreams that have failed, so few uploads may be sent there.
LEAST_RECEIVED=5
# no_part_complete CASE ADDRESS PATH HOST [HEADER=VALUE...]: sends the uploads.
no_part_complete() {
  local name=$1 ends before
  shift
  before=$(uploads_received)
  ends=$(node tests/node/reset_uploads.mjs "$1" "$2" "$3" $UPLOADS "${@:4}")
  echo "$name: $ends"
  expect "$name" "$ends" '^complete=0 '
  at_least "$name: received" $(($(uploads_received) - before)) $LEAST_RECEIVED
}
uploads_received() { grep -c ' id=reset-' "$FLEET/broken.out"; }
say "the gateway: resets soon after the response"
for kind in reset_soon reset_soon_close; do
  no_part_complete "plain, $kind" "$(address g1 callers)" "/broken/$kind" a.example
  no_part_complete "stream, $kind" "$(address g1 callers)" "/broken-stream/$kind" a.example "${TOKENS/: /=}"
done

# endless_crowd CALL NAME SERVE PROCESS CHECK: has CALL send CROWD requests at a time for
# each response without an end and SERVE one beside them, and CHECKs what the callers got.
endless_crowd() {
  local kind i
  for kind in $ENDLESS; do
    CALLERS=()
    for i in $(seq $CROWD); do
      "$1" "$kind-$i" "$kind" >"$FLEET/endless-$i" &
      CALLERS+=($!)
    done
    "$3" "$2, $kind"
    wait "${CALLERS[@]}"
    for i in $(seq $CROWD); do "$5" "$2, $kind, $i" "$(cat "$FLEET/endless-$i")"; done
    check_process "$2, $kind" "$4" $MEMORY_MB $DESCRIPTORS
  done
}
say "the gateway: responses without an end"
endless_gateway() { call_gateway "$1" "/broken/$2" -d x; }
serve_gateway() { expect "$1: another caller" "$(call g1 /again/a -H "Request-Id: other-$RANDOM" -d ordinary)" '^status=200'; }
endless_crowd endless_gateway gateway serve_gateway g1 expect_failure
stop g1
stop platform

say "the entry: a sound response of the same upstream"
start store stand_in_object_api
STORE=$(address store object_api)
start_engine 1
# An entry avoids upstreams that failed for a while, so it needs many of them.
DESKS=128
for i in $(seq $DESKS); do register_instance "desk-$i" service desk "$(address broken upstream)" '[]'; done
"$BIN/chicory_publish" publish --files examples/tour --store "$STORE" >/dev/null
# entry_of NUMBER: starts an entry with the memory of the smallest instance.
entry_of() {
  start "entry$1" chicory_entry --set "instance=entry$1" --set data_centre=dc1 --set "object_api=$STORE" --set peer_key=test \
    --set gossip_period=200ms --set configuration_poll=1s --set "max_body_bytes=$BODY_BYTES" --set memory_mb=$MEMORY_MB
  register_instance "entry$1" entry "" "$(address "entry$1" peers)" '[]'
  wait_for 30 has_live_upstreams "$1" $((DESKS + 1)) || problem "entry$1 does not have its upstreams"
}
entry_of 1
# call_entry CASE PATH [CURL OPTIONS...]: calls the entry; prints body, status and time.
call_entry() {
  local name=$1 path=$2
  shift 2
  timed curl -s -m 9 -w '\nstatus=%{http_code}\n' -H "$KEY" -H "Idempotency-Key: $name" -H 'Expect:' "$@" "http://$(caller_address 1)/desk/$path?case=$name"
}
# expect_unknown CASE RESPONSE: checks that a call that may not be repeated failed with an
# unknown outcome.
expect_unknown() {
  expect_failure "$1" "$2"
  expect "$1" "$2" '"code":"outcome_unknown"'
}
expect "sound" "$(call_entry entry-sound jobs/sound)" '^wrong$'

say "the entry: broken responses"
for kind in $KINDS; do
  for size in $(sizes "$kind"); do
    body=x
    [ $size = short ] || body=@$FLEET/upload
    expect_unknown "entry, $kind, $size" "$(call_entry "entry-$kind-$size" "bookings/$kind" --data-binary "$body")"
    expect "entry, $kind, $size: runs" "$(received "entry-$kind-$size")" '^1$'
  done
done
# A call that may be repeated is retried and then refused, whatever its body.
again=$(call_entry entry-again jobs/name_blank -d x)
expect "entry, repeated" "$again" '"code":"(crashes_upstreams|upstream_failed|retries_exhausted)"'
expect "entry, repeated" "$again" '"run_state":"outcome unknown"'

say "the entry: resets soon after the response"
for kind in reset_soon reset_soon_close; do
  no_part_complete "entry, $kind" "$(caller_address 1)" "/desk/bookings/$kind" a.example "${KEY/: /=}"
done

say "the entry: responses without an end"
endless_entry() { call_entry "entry-$1" "bookings/$2" -d x; }
serve_entry() { expect "$1: another caller" "$(chat "${2:-1}" '{"model":"stile-1","max_tokens":2,"messages":[{"role":"user","content":"x"}]}')" '"completion_tokens":2'; }
endless_crowd endless_entry entry serve_entry entry1 expect_unknown

say "the entry: peers without an end"
stop entry1
entry_of 2
for i in 1 2 3 4; do register_instance "broken-peer-$i" entry "" "$(address broken peer)" '[]'; done
wait_for 20 grep -q '^peer' "$FLEET/broken.out" || problem "no broken peer was called"
sleep 4
serve_entry "broken peers" 2
check_process "broken peers" entry2 $REST_MB $DESCRIPTORS
finish
