# Helpers to start a small fleet from a script; source this file.
# FLEET is a scratch folder; BIN holds the programs.

fleet_begin() {
  FLEET=$(mktemp -d)
  FLEET_PIDS=()
  trap fleet_end EXIT
}

# start NAME PROGRAM ARGUMENTS...: starts a process and waits for the line that
# tells its addresses, which lands in $FLEET/NAME.out.
start() {
  local name=$1 program=$2
  shift 2
  "$BIN/$program" "$@" >"$FLEET/$name.out" 2>"$FLEET/$name.log" &
  FLEET_PIDS+=($!)
  echo $! >"$FLEET/$name.pid"
  for _ in $(seq 200); do
    grep -q '^listening' "$FLEET/$name.out" && return 0
    kill -0 "$(cat "$FLEET/$name.pid")" 2>/dev/null || break
    sleep 0.05
  done
  echo "$name did not start:" >&2
  cat "$FLEET/$name.log" >&2
  return 1
}

# address NAME KIND: an address that a started process told.
address() {
  tr ' ' '\n' <"$FLEET/$1.out" | sed -n "s/^$2=//p" | head -1
}

# instance NAME JSON: puts a line on the platform's list of instances.
instance() {
  curl -sf -X PUT -d "$2" "http://$STORE/instances/$1" >/dev/null
}

# stop NAME: a planned stop.
stop() {
  local pid
  pid=$(cat "$FLEET/$1.pid")
  kill -TERM "$pid" 2>/dev/null && wait "$pid" 2>/dev/null
  return 0
}

# wait_for SECONDS COMMAND...: until the command succeeds.
wait_for() {
  local until=$((SECONDS + $1))
  shift
  while ! "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$until" ] || return 1
    sleep 0.1
  done
}

fleet_end() {
  local pid
  for pid in "${FLEET_PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${FLEET_PIDS[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$FLEET"
}
