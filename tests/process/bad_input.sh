# Invalid requests and settings are refused with the right status and message,
# and hold no engine memory afterwards.
. "$(dirname "$0")/lib.sh"
fleet 1 1
URL=http://$(caller_address 1)
# check_response NAME STATUS PATTERN CURL-ARGUMENTS...: sends a request and
# checks the status and the text of the response.
check_response() {
  local name=$1 status=$2 pattern=$3 out
  shift 3
  out=$(curl -s -m 20 -w '\nstatus=%{http_code}' "$@")
  expect "$name" "$out" "status=$status\$"
  expect "$name" "$out" "$pattern"
}
chat_url=$URL/v1/chat/completions
good='{"model":"stile-1","max_tokens":2,"messages":[{"role":"user","content":"x"}]}'
check_response "no key" 401 'invalid_api_key.*not run' -d "$good" "$chat_url"
check_response "wrong key" 401 'invalid_api_key' -H 'Authorization: Bearer walkers.wrong' -d "$good" "$chat_url"
check_response "unknown account" 401 'invalid_api_key' -H 'Authorization: Bearer nobody.demo' -d "$good" "$chat_url"
check_response "malformed JSON" 400 'not a JSON object' -H "$KEY" -d '{"model":' "$chat_url"
check_response "no model" 400 'model' -H "$KEY" -d '{"messages":[]}' "$chat_url"
check_response "model of a wrong type" 400 '`model` must be a string' -H "$KEY" -d '{"model":7}' "$chat_url"
check_response "no messages" 400 'messages' -H "$KEY" -d '{"model":"stile-1"}' "$chat_url"
check_response "message without content" 400 'messages\[0\]' -H "$KEY" -d '{"model":"stile-1","messages":[{"role":"user"}]}' "$chat_url"
check_response "negative max_tokens" 400 'max_tokens' -H "$KEY" -d '{"model":"stile-1","max_tokens":-1,"messages":[{"role":"user","content":"x"}]}' "$chat_url"
check_response "unknown model" 404 'model_not_found.*not run' -H "$KEY" -d '{"model":"none","messages":[{"role":"user","content":"x"}]}' "$chat_url"
check_response "unknown route" 404 'route_not_found.*not run' -H "$KEY" "$URL/nowhere"
head -c 9000000 /dev/zero | tr '\0' 'x' >"$FLEET/big"
check_response "body over the limit" 413 'exceeds the limit' -H "$KEY" --data-binary "@$FLEET/big" "$chat_url"
check_response "over-long header" 400 '' -H "$KEY" -H "X-Long: $(head -c 20000 /dev/zero | tr '\0' 'x')" "$URL/v1/models"
head -c 200000 /dev/zero | tr '\0' '[' >"$FLEET/deep"
check_response "deep nesting" 400 '' -H "$KEY" -H 'Content-Type: application/json' --data-binary "@$FLEET/deep" "$chat_url"
check_response "expired deadline" 504 'deadline_exceeded.*not run' -H "$KEY" -H 'Chicory-Deadline-Ms: 0' -d "$good" "$chat_url"
check_response "closed port" 000 '' "http://127.0.0.1:1/"
# send_raw BYTES: sends bytes unchanged and prints all that comes back.
send_raw() {
  local at
  at=$(caller_address 1)
  exec 9<>"/dev/tcp/${at%:*}/${at#*:}"
  printf "$1" >&9
  timeout 5 cat <&9
  exec 9<&- 9>&-
}
say "requests whose end is in doubt are refused, and nothing inside them runs"
inner="GET /v1/models HTTP/1.1\r\nHost: h\r\n$KEY\r\n\r\n"
for framing in 'Transfer-Encoding: gzip' 'Transfer-Encoding: gzip, chunked' 'Content-Length: 0\r\nContent-Length: 0' \
  'Content-Length: 0\r\nContent-Length : 9' 'Content-Length: 9\nX: y'; do
  out=$(send_raw "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n$KEY\r\n$framing\r\n\r\n$inner")
  expect "$framing" "$(head -1 <<<"$out")" '^HTTP/1.1 (400|501) '
  expect "$framing" "$out" '"bad_request".*"not run"'
  expect "$framing" "$(grep -c '^HTTP' <<<"$out")" '^1$'
done
expect "its reason" "$(grep request_malformed "$FLEET/entry1.log")" 'api=callers .*status=400 reason=several_lengths'
say "random bytes on the callers' port"
head -c 100000 /dev/urandom | timeout 5 curl -s -m 3 telnet://"$(caller_address 1)" >/dev/null 2>&1
say "all errors in the settings are reported at once"
out=$("$BIN/chicory_entry" --set instance=x --set max_threads=1 --set colour=red 2>&1); code=$?
expect settings "$out" 'unknown-key'
expect settings "$out" 'out-of-bounds'
expect settings "$out" 'missing-key'
[ "$code" -eq 2 ] || problem "exit code $code, expected 2"
say "valid requests are still served and no engine memory is held"
check_response "valid request" 200 '"completion_tokens":2' -H "$KEY" -d "$good" "$chat_url"
wait_for 20 memory_is_free 1 || problem "engine memory is still held: $(free_memory 1)"
finish
