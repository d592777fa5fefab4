# Tests one gateway against the platform's stand-in: routing, retries and
# responses while upstreams fail in several ways, malformed HTTP requests, the
# log of a request and the metrics.
. "$(dirname "$0")/gateway_lib.sh"
platform --set engines=2 --set desks=2
gateway g1

say "streams, non-idempotent calls and lookups are forwarded"
expect stream "$(call g1 /s/a -H 'Request-Id: s1' -H "$TOKENS" -d prompt)" 'token4'
expect call "$(call g1 /once/a -H 'Request-Id: o1' -d booking)" 'ran POST /once/a booking'
expect lookup "$(call g1 '/again/a?x=%20y' -H 'Request-Id: l1')" 'ran GET /again/a\?x=%20y'

say "requests are matched to routes and API keys"
expect "no route" "$(call g1 /none/a)" 'status=404'
expect "another host" "$(HOST='Host: b.example' call g1 /again/a)" 'status=404'
expect "no key" "$(call g1 /keyed/a)" 'status=401'
expect "a key" "$(call g1 /keyed/a -H 'Request-Id: k1' -H 'Authorization: Bearer k1' -H 'Tenant: forged')" 'status=200'
expect "the upstream receives the account" "$(upstream_stats)" 'Tenant: walkers'
grep -q 'Bearer\|forged' <<<"$(upstream_stats)" && problem "a key or a forged account reached an upstream"

say "a non-idempotent call runs at most once"
for mode in reset mute error unsigned foreign break; do
  upstream desk-1 "\"mode\":\"$mode\""
  upstream desk-2 "\"mode\":\"$mode\""
  response=$(call g1 /once/a -H "Request-Id: once-$mode" -d booking)
  expect "$mode: runs" "$(run_count "once-$mode")" '^1$'
  expect "$mode: not reported as not run" "$response" 'status=50[024]'
done
upstream desk-1 '"mode":"full"'
upstream desk-2 '"mode":"full"'
expect "full: refused with Retry-After" "$(call g1 /once/a -i -H 'Request-Id: once-full' -d booking)" 'Retry-After'
expect "full: not run" "$(run_count once-full)" '^0$'
upstream desk-2 '"mode":"ok"'
expect "one full: the other runs it" "$(call g1 /once/a -H 'Request-Id: once-other' -d booking)" 'status=200'
expect "one full: runs once" "$(run_count once-other)" '^1$'

say "a failed lookup is retried at another upstream"
for mode in reset error unsigned foreign break; do
  sleep 2 # until the scheduler assigns requests to the failed upstream again
  upstream desk-1 "\"mode\":\"$mode\""
  expect "$mode" "$(call g1 /again/a -H "Request-Id: again-$mode")" 'status=200'
done
upstream desk-1 '"mode":"ok"'

say "a stale idle connection does not count as a failure of the upstream"
sleep 2
for i in 1 2; do call g1 /again/a -H "Request-Id: kept-$i" >/dev/null; done
upstream desk-1 '"mode":"forget"'
upstream desk-2 '"mode":"forget"'
for i in 3 4; do expect "lookup $i" "$(call g1 /again/a -H "Request-Id: kept-$i")" 'status=200'; done
expect stale "$(log_of g1 send_failed)" 'request=kept-[34] .*reason=kept_connection_stale'
upstream desk-1 '"mode":"ok"'
upstream desk-2 '"mode":"ok"'

say "an interrupted stream is resumed after its last complete event"
upstream engine-1 '"mode":"break"'
expect "broken stream" "$(call g1 /s/a -H 'Request-Id: s2' -H "$TOKENS" -d prompt | grep -c '^data: token')" '^5$'
upstream engine-2 '"mode":"break"'
sleep 2
begin=$(date +%s%N)
response=$(call g1 /s/a -H 'Request-Id: s3' -H "$TOKENS" -d prompt)
took=$((($(date +%s%N) - begin) / 1000000))
[ "$took" -lt 2000 ] || problem "a stream that cannot be resumed ended only after $took ms"
grep -q token4 <<<"$response" && problem "a stream that no upstream could resume was completed"
# Guards against a stream that broke off but reached an HTTP/1.0 caller as
# complete: that protocol has no chunks, and only a reset tells the difference.
sleep 2
old_call g1 s3-old >/dev/null && problem "a broken stream looked complete to an HTTP/1.0 caller"
upstream engine-1 '"mode":"ok"'
upstream engine-2 '"mode":"ok"'
sleep 2
response=$(old_call g1 s2-old) || problem "a whole stream looked broken to an HTTP/1.0 caller"
expect "a stream over HTTP/1.0" "$response" 'data: token4'
grep -q 'Transfer-Encoding' <<<"$response" && problem "an HTTP/1.0 caller received chunks"

say "a lookup is retried when its response is overdue"
for desk in 1 2; do
  upstream "desk-$desk" '"mode":"mute"'
  begin=$(date +%s%N)
  expect "lookup" "$(call g1 /again/a -H "Request-Id: mute-l$desk")" 'status=200'
  took=$((($(date +%s%N) - begin) / 1000000))
  [ "$took" -lt 1200 ] || problem "a silent upstream delayed a lookup by $took ms"
  expect "a booking is not retried" "$(call g1 /once/a -H "Request-Id: mute-b$desk" -d x)" 'status=(200|504)'
  expect "and runs once" "$(run_count "mute-b$desk")" '^1$'
  upstream "desk-$desk" '"mode":"ok"'
  sleep 2
done
expect "overdue lookup" "$(log_of g1 send_failed)" 'request=mute-l[12] .*reason=response_overdue .*again=1'

say "a stream is resumed elsewhere when its upstream falls silent"
for mode in stall mute; do
  for engine in 1 2; do
    upstream "engine-$engine" "\"mode\":\"$mode\""
    begin=$(date +%s%N)
    response=$(call g1 /s/a -H "Request-Id: $mode-s$engine" -H "$TOKENS" -d "$mode $engine")
    took=$((($(date +%s%N) - begin) / 1000000))
    for token in 0 1 2 3 4; do
      expect "$mode: token $token once" "$(grep -c "^data: token$token\$" <<<"$response")" '^1$'
    done
    # Callers abandon a stream of this route after 2 s of silence.
    [ "$took" -lt 2000 ] || problem "a silent upstream ($mode) delayed a stream by $took ms"
    upstream "engine-$engine" '"mode":"ok"'
    sleep 2
  done
done
expect "silent stream" "$(log_of g1 send_failed)" 'request=stall-s[12] .*reason=response_overdue .*again=1'
expect "silent prompt" "$(log_of g1 send_failed)" 'request=mute-s[12] .*reason=response_overdue .*again=1'

say "a silent stream that cannot be placed elsewhere in time is not ended"
# Callers abandon a stream of this route after 8 s of silence. After 4.8 s the prompt
# of 1.5 s can no longer be placed elsewhere; the engine goes on after 5.2 s.
configure 2 '{"name":"slow","host":"a.example","path-prefix":"/slow/","kind":"streaming","timeout-ms":9000,"target-latency-ms":2000,"gap-aim-ms":250,"service":"engines","max-attempts":3,"stream-resume":true,"anonymous":true},'
upstream engine-2 '"state":"gone"'
upstream engine-1 '"mode":"pause"'
sleep 1
response=$(call g1 /slow/a -H 'Request-Id: pause-1' -H 'Token-Count: 100000,50' -H 'Deadline-Ms: 5700' -d paused)
for token in 0 1 2 3 4; do
  expect "token $token once" "$(grep -c "^data: token$token\$" <<<"$response")" '^1$'
done
expect "runs once" "$(run_count pause-1)" '^1$'
expect "refused elsewhere" "$(log_of g1 request_refused)" 'request=pause-1 cause=deadline_over'
upstream engine-1 '"mode":"ok"'
upstream engine-2 '"state":"ready"'
sleep 1

say "the request is cancelled at the upstream when its caller disconnects"
upstream engine-1 '"pace_ms":400'
upstream engine-2 '"pace_ms":400'
departed_callers() { upstream_stats | sed 's/.*"left":\([0-9]*\).*/\1/'; }
before=$(departed_callers)
has_departed() { [ "$(departed_callers)" -gt "$before" ]; }
curl -s -m 0.6 -H "$HOST" -H 'Request-Id: s4' -H "$TOKENS" -d another "http://$(address g1 callers)/s/a" >/dev/null
wait_for 2 has_departed || problem "the upstream was not disconnected within 2 s"
upstream engine-1 '"pace_ms":20'
upstream engine-2 '"pace_ms":20'

say "a request ends at the time limit of its caller or its route"
upstream desk-1 '"mode":"mute"'
upstream desk-2 '"mode":"mute"'
begin=$(date +%s%N)
expect "the caller's limit" "$(call g1 /once/a -H 'Request-Id: t1' -H 'Deadline-Ms: 400' -d x)" 'status=504'
took=$((($(date +%s%N) - begin) / 1000000))
[ "$took" -lt 1200 ] || problem "responded after $took ms, the limit is 400 ms"
expect "the route's limit" "$(call g1 /once/a -H 'Request-Id: t2' -d x)" 'status=504'
upstream desk-1 '"mode":"ok"'
upstream desk-2 '"mode":"ok"'

say "malformed requests are refused, valid encodings are accepted"
expect "two lengths" "$(send_raw g1 'POST /again/a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhi!')" ' 400 '
expect "length and chunks" "$(send_raw g1 'POST /again/a HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n0\r\n\r\n')" ' 400 '
# Guards against a body that runs as a request because its end is in doubt (review/10).
inner='POST /once/inner HTTP/1.1\r\nHost: a.example\r\nRequest-Id: inner\r\nContent-Length: 0\r\n\r\n'
for coding in gzip identity 'chunked, gzip' 'chunked;q=1' 'gzip, chunked'; do
  expect "coded as $coding" "$(send_raw g1 "POST /again/a HTTP/1.1\r\nHost: a.example\r\nRequest-Id: outer\r\nTransfer-Encoding: $coding\r\n\r\n$inner")" ' (400|501) '
done
expect "equal lengths" "$(send_raw g1 'POST /again/a HTTP/1.1\r\nHost: a.example\r\nRequest-Id: outer\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nhi')" ' 400 '
[ "$(run_count outer)$(run_count inner)" = 00 ] || problem "a request whose end is in doubt, or what is inside it, ran"
expect "its reason" "$(log_of g1 request_malformed)" 'listener=callers caller=[0-9.]* status=400 reason=transfer_coding_without_end'
expect "not HTTP" "$(send_raw g1 '\x16\x03\x01 hello\r\n\r\n')" ' 400 '
expect "a head too large" "$(send_raw g1 "GET /again/a HTTP/1.1\r\nX: $(head -c 9000 /dev/zero | tr '\0' x)\r\n\r\n")" ' 431 '
expect "a body too large" "$(call g1 /again/a -H 'Content-Length: 200000' -d x)" 'status=413'
expect "a head that never ends" "$(send_raw g1 'GET /again/a HTTP/1.1\r\nHost:')" ' 408 '
# Guards against a process that ended: the library throws at a field of 64 KiB.
expect "a trailer too large" "$(send_raw g1 "POST /again/a HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: $(head -c 65534 /dev/zero | tr '\0' x)\r\n\r\n")" ' 431 '
# Guards against fields of a trailer that count as fields of the head.
expect "a key in the trailer" "$(send_raw g1 'POST /keyed/a HTTP/1.1\r\nHost: a.example\r\nRequest-Id: trailing\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nAuthorization: Bearer k1\r\n\r\n')" ' 401 '
expect "chunks" "$(call g1 /again/a -H 'Request-Id: c1' -H 'Transfer-Encoding: chunked' -d chunked)" 'ran POST /again/a chunked'
expect "two pipelined requests" "$(
  at=$(address g1 callers)
  exec 9<>"/dev/tcp/${at%:*}/${at#*:}"
  printf 'GET /again/a HTTP/1.1\r\nHost: a.example\r\nRequest-Id: p1\r\n\r\nGET /again/b HTTP/1.1\r\nHost: a.example\r\nRequest-Id: p2\r\nConnection: close\r\n\r\n' >&9
  timeout 3 cat <&9 | grep -c 'ran GET'
)" '^2$'

say "the log and the metrics show why a request failed"
expect admitted "$(log_of g1 request_admitted)" 'request=once-reset route=once service=desk'
expect failed "$(log_of g1 send_failed)" 'request=once-reset .*reason=connection_broken not_run=0'
expect ended "$(log_of g1 request_ended)" 'request=once-reset status=502 reason=connection_broken'
timeline=$("$BIN/chicory_timeline" --log "$FLEET/g1.out" --request once-reset)
expect "its lines in order" "$(sed -n 's/.*event=\([a-z_]*\) request=once-reset .*/\1/p' <<<"$timeline" | tr '\n' ' ')" \
  '^request_admitted request_sent send_failed request_ended $'
expect "the origin of each line" "$(head -1 <<<"$timeline")" 'g1.out time_ms='
grep -q 'request=s1 ' <<<"$timeline" && problem "a timeline contains lines of another request"
"$BIN/chicory_timeline" --log "$FLEET/g1.out" >/dev/null 2>&1
[ $? -eq 2 ] || problem "a missing request id was not reported as a usage error"
"$BIN/chicory_timeline" --log "$FLEET/none.out" --request x >/dev/null 2>&1
[ $? -eq 3 ] || problem "an unreadable log was not reported as unavailable"
expect sent "$(log_of g1 request_sent)" 'request=s1 .*scheduler=127.0.0.1 decided_after_ms=[0-9]+ upstreams_age_ms=[0-9]+ '
expect membership "$(log_of g1 membership_changed)" 'scheduler=127.0.0.1 .*live_instances=1'
metrics=$(curl -s "http://$(address g1 operators)/metrics")
expect "counter" "$metrics" '^chicory_requests_total\{.*status="200"'
expect "failed attempts" "$metrics" '^chicory_failed_sends_total\{reason="connection_broken",service="desk"\} [1-9]'
expect "histogram" "$metrics" '^chicory_first_event_seconds_bucket\{service="engines",le="0.3"\} [1-9]'

say "metrics are served at an additional address, unless it is in use"
port=$((21000 + RANDOM % 20000))
gateway g2 --set "metrics_listen=127.0.0.1:$port"
expect "metrics" "$(curl -s "http://127.0.0.1:$port/metrics")" '^chicory_upstreams 4'
gateway g3 --set "metrics_listen=127.0.0.1:$port"
expect "logged" "$(log_of g3 metrics_not_served)" 'reason='
say "the stand-in ends although watches are open"
for i in 1 2 3; do
  start "other$i" stand_in_platform --set engines=2 --set desks=2
  for kind in servers config servers; do
    curl -s -m 5 "http://$(address "other$i" store)/objects/$kind?watch=9999&wait-ms=15000" >/dev/null &
  done
  sleep 0.2
  kill -TERM "$(cat "$FLEET/other$i.pid")"
  has_ended() { ! kill -0 "$(cat "$FLEET/other$i.pid")" 2>/dev/null; }
  wait_for 3 has_ended || problem "the stand-in has not ended"
  wait "$(cat "$FLEET/other$i.pid")"
  code=$?
  [ "$code" -eq 0 ] || problem "the stand-in ended with $code"
done
finish
