# Non-idempotent requests run at most once per idempotency key: with retries
# through other instances, killed and frozen instances, outages of the object
# API, lost responses, reused keys and concurrent requests.
. "$(dirname "$0")/lib.sh"
fleet 3 1

say "a retry through another instance gets the first response"
expect first "$(book 1 k1 monday)" 'Run-State: ran'
expect retry "$(book 2 k1 monday)" 'Idempotency-Replayed: true'
expect "number of runs" "$(executions)" '"k1":1[,}]'

say "the same key with a different body is refused"
expect "reused key" "$(book 3 k1 tuesday)" 'idempotency_key_reused.*not run'

say "a request without a key is refused"
expect "without key" "$(curl -s -H "$KEY" -d x "http://$(caller_address 1)/desk/bookings")" 'idempotency_key_required.*not run'

say "concurrent requests with one key through two instances"
curl -s -X POST -d '{"slow_ms":1000}' "http://$(address desk service)/faults"
book 1 k2 x >"$FLEET/a" & a=$!
book 2 k2 x >"$FLEET/b" & b=$!
wait $a $b
expect "both responses" "$(grep -c 'Run-State: ran' "$FLEET/a" "$FLEET/b")" 'a:1'
expect "both responses" "$(grep -c 'Run-State: ran' "$FLEET/a" "$FLEET/b")" 'b:1'
expect "number of runs" "$(executions)" '"k2":1[,}]'

say "the instance is killed while the call runs: the retry does not run it again"
curl -s -X POST -d '{"slow_ms":1500}' "http://$(address desk service)/faults"
book 1 k3 x >/dev/null & a=$!
has_run() { executions | grep -q "\"$1\":1"; }
wait_for 10 has_run k3 || problem "the call of key k3 did not start"
signal entry1 KILL
wait $a
expect "outcome unknown" "$(book 2 k3 x 30)" 'outcome unknown'
expect "number of runs" "$(executions)" '"k3":1[,}]'
curl -s -X POST -d '{}' "http://$(address desk service)/faults"

say "the object API is down: the request is refused as not run"
set_store_faults '{"down":true}'
expect refused "$(book 2 k4 x)" 'not run'
set_store_faults '{}'
expect "runs after the outage" "$(book 3 k4 x)" 'Run-State: ran'
expect "number of runs" "$(executions)" '"k4":1[,}]'

say "the response to the write of the idempotency record is lost"
set_store_faults '{"lose_answers":1}'
expect ran "$(book 2 k5 x)" 'Run-State: ran'
expect retry "$(book 3 k5 x)" 'Idempotency-Replayed: true'
expect "number of runs" "$(executions)" '"k5":1[,}]'

say "the response to the write of the outcome is lost"
curl -s -X POST -d '{"slow_ms":700}' "http://$(address desk service)/faults"
book 2 k6 x >"$FLEET/a" & a=$!
sleep 0.3
set_store_faults '{"lose_answers":1}'
wait $a
expect ran "$(cat "$FLEET/a")" 'Run-State: ran'
expect retry "$(book 3 k6 x)" 'Idempotency-Replayed: true'
expect "number of runs" "$(executions)" '"k6":1[,}]'

say "the instance is frozen while the call runs, for longer than others wait, and resumes"
curl -s -X POST -d '{"slow_ms":1000}' "http://$(address desk service)/faults"
book 2 k7 x >/dev/null & a=$!
sleep 0.4
signal entry2 STOP
expect "retry during the freeze" "$(book 3 k7 x 30)" 'outcome unknown|Replayed'
signal entry2 CONT
wait $a
sleep 1
# The frozen instance resumed after the deadline of the call. The retry gets the
# response or "outcome unknown", but does not run the call a second time.
expect "retry after the freeze" "$(book 3 k7 x 30)" 'Idempotency-Replayed: true|outcome unknown'
expect "number of runs" "$(executions)" '"k7":1[,}]'

say "the service dies after it ran the call: no second attempt"
curl -s -X POST -d '{"die_after_run":true}' "http://$(address desk service)/faults"
expect "outcome unknown" "$(book 2 k8 x)" 'outcome unknown'
start desk stand_in_service
register_instance desk service desk "$(address desk service)" '[]'
sleep 2
expect "still unknown" "$(book 3 k8 x)" 'outcome unknown'
expect "no second run" "$(executions)" '^(\{\}|null)$'

say "an idempotent request is retried when the service dies"
curl -s -X POST -d '{"die_before_run":true}' "http://$(address desk service)/faults"
curl -s -i -m 30 -H "$KEY" "http://$(caller_address 3)/desk/jobs/7" >"$FLEET/a" & a=$!
sleep 0.3
start desk stand_in_service
register_instance desk service desk "$(address desk service)" '[]'
wait $a
expect "status" "$(cat "$FLEET/a")" 'Run-State: ran|upstream_failed|no_upstream'
expect "status again" "$(curl -s -i -m 30 --retry 5 --retry-all-errors -f -H "$KEY" "http://$(caller_address 3)/desk/jobs/7")" 'Run-State: ran'
finish
