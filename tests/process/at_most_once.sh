# A booking runs at most once: resends through other instances, kills, freezes,
# outages of the object API, lost answers, a reused key, two at once.
. "$(dirname "$0")/lib.sh"
fleet 3 1

say "a resend through another instance gets the first answer"
expect first "$(book 1 k1 monday)" 'Run-State: ran'
expect resend "$(book 2 k1 monday)" 'Idempotency-Replayed: true'
expect runs "$(executions)" '"k1":1[,}]'

say "the same key with another body does not run"
expect reused "$(book 3 k1 tuesday)" 'idempotency_key_reused.*not run'

say "no key, no run"
expect keyless "$(curl -s -H "$KEY" -d x "http://$(callers 1)/desk/bookings")" 'idempotency_key_required.*not run'

say "two at once, through two instances"
curl -s -X POST -d '{"slow_ms":1000}' "http://$(address desk service)/faults"
book 1 k2 x >"$FLEET/a" & a=$!
book 2 k2 x >"$FLEET/b" & b=$!
wait $a $b
expect "both answered" "$(grep -c 'Run-State: ran' "$FLEET/a" "$FLEET/b")" 'a:1'
expect "both answered" "$(grep -c 'Run-State: ran' "$FLEET/a" "$FLEET/b")" 'b:1'
expect runs "$(executions)" '"k2":1[,}]'

say "the instance is killed while the call runs; the resend is not sent again"
curl -s -X POST -d '{"slow_ms":1500}' "http://$(address desk service)/faults"
book 1 k3 x >/dev/null & a=$!
has_run() { executions | grep -q "\"$1\":1"; }
wait_for 10 has_run k3 || problem "k3 did not start"
signal entry1 KILL
wait $a
expect unknown "$(book 2 k3 x 30)" 'outcome unknown'
expect runs "$(executions)" '"k3":1[,}]'
curl -s -X POST -d '{}' "http://$(address desk service)/faults"

say "the object API is away: truthfully not run"
store_faults '{"down":true}'
expect refused "$(book 2 k4 x)" 'not run'
store_faults '{}'
expect "later it runs" "$(book 3 k4 x)" 'Run-State: ran'
expect runs "$(executions)" '"k4":1[,}]'

say "the answer to the record is lost"
store_faults '{"lose_answers":1}'
expect ran "$(book 2 k5 x)" 'Run-State: ran'
expect resend "$(book 3 k5 x)" 'Idempotency-Replayed: true'
expect runs "$(executions)" '"k5":1[,}]'

say "the answer to the record of the outcome is lost"
curl -s -X POST -d '{"slow_ms":700}' "http://$(address desk service)/faults"
book 2 k6 x >"$FLEET/a" & a=$!
sleep 0.3
store_faults '{"lose_answers":1}'
wait $a
expect ran "$(cat "$FLEET/a")" 'Run-State: ran'
expect resend "$(book 3 k6 x)" 'Idempotency-Replayed: true'
expect runs "$(executions)" '"k6":1[,}]'

say "the instance is frozen while the call runs, longer than others wait, and wakes"
curl -s -X POST -d '{"slow_ms":1000}' "http://$(address desk service)/faults"
book 2 k7 x >/dev/null & a=$!
sleep 0.4
signal entry2 STOP
expect "the resend waits or is told the truth" "$(book 3 k7 x 30)" 'outcome unknown|Replayed'
signal entry2 CONT
wait $a
sleep 1
# The frozen instance woke past the call's own deadline: the answer, or the
# truth that it is not known, but no second run.
expect "afterwards" "$(book 3 k7 x 30)" 'Idempotency-Replayed: true|outcome unknown'
expect runs "$(executions)" '"k7":1[,}]'

say "the desk dies after it ran: never sent again"
curl -s -X POST -d '{"die_after_run":true}' "http://$(address desk service)/faults"
expect unknown "$(book 2 k8 x)" 'outcome unknown'
start desk stand_in_service
register desk service desk "$(address desk service)" '[]'
sleep 2
expect "still unknown" "$(book 3 k8 x)" 'outcome unknown'
expect "no second run" "$(executions)" '^(\{\}|null)$'

say "a job's status may be asked for again and comes though the desk dies"
curl -s -X POST -d '{"die_before_run":true}' "http://$(address desk service)/faults"
curl -s -i -m 30 -H "$KEY" "http://$(callers 3)/desk/jobs/7" >"$FLEET/a" & a=$!
sleep 0.3
start desk stand_in_service
register desk service desk "$(address desk service)" '[]'
wait $a
expect "status" "$(cat "$FLEET/a")" 'Run-State: ran|upstream_failed|no_upstream'
expect "status again" "$(curl -s -i -m 30 --retry 5 --retry-all-errors -f -H "$KEY" "http://$(callers 3)/desk/jobs/7")" 'Run-State: ran'
finish
