# Functions to run a small fleet of processes from a script. Source this file.
# FLEET is a temporary folder for their files; BIN is the folder of the programs.

# fleet_begin: creates FLEET and stops all processes when the script exits.
fleet_begin() {
  FLEET=$(mktemp -d)
  FLEET_PIDS=()
  trap fleet_end EXIT
}

# start NAME PROGRAM ARGUMENTS...: starts a process and waits until it prints its
# addresses. Its output is in $FLEET/NAME.out and $FLEET/NAME.log, its process
# id in $FLEET/NAME.pid.
start() {
  local name=$1 program=$2
  shift 2
  # Otherwise the addresses of a killed process of this name could be read before
  # the new process empties the file.
  rm -f "$FLEET/$name.out"
  "$BIN/$program" "$@" >"$FLEET/$name.out" 2>"$FLEET/$name.log" &
  FLEET_PIDS+=($!)
  echo $! >"$FLEET/$name.pid"
  for _ in $(seq 200); do
    grep -qs '^listening' "$FLEET/$name.out" && return 0
    kill -0 "$(cat "$FLEET/$name.pid")" 2>/dev/null || break
    sleep 0.05
  done
  echo "$name did not start:" >&2
  cat "$FLEET/$name.log" >&2
  return 1
}

# address NAME KIND: prints an address that a started process has printed.
address() {
  tr ' ' '\n' <"$FLEET/$1.out" | sed -n "s/^$2=//p" | head -1
}

# put_instance NAME JSON: adds an instance to the platform's list.
put_instance() {
  curl -sf -X PUT -d "$2" "http://$STORE/instances/$1" >/dev/null
}

# stop NAME: stops a process gracefully and waits for it to exit.
stop() {
  local pid
  pid=$(cat "$FLEET/$1.pid")
  kill -TERM "$pid" 2>/dev/null && wait "$pid" 2>/dev/null
  return 0
}

# wait_for SECONDS COMMAND...: repeats the command until it succeeds or SECONDS
# have passed.
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
