# Tests that `start` of tools/fleet.sh waits for the new process when a name is
# started again after its process was killed.
. "$(dirname "$0")/lib.sh"
fleet_begin
# A process that prints its id as its address.
mkdir "$FLEET/bin"
cat >"$FLEET/bin/printer" <<'SCRIPT'
#!/usr/bin/env bash
echo "listening x=$$"
exec sleep 60
SCRIPT
chmod +x "$FLEET/bin/printer"
BIN=$FLEET/bin

say "the output of the killed process is not taken for that of the new one"
start p printer
first=$(address p x)
kill -KILL "$first"
wait "$first" 2>/dev/null
# With noclobber the child cannot empty the output of the killed process, as if it
# were late.
rm "$FLEET/p.log"
set -o noclobber
start p printer 2>/dev/null
set +o noclobber
second=$(address p x)
expect "an address" "$second" '^[0-9]+$'
[ "$first" != "$second" ] || problem "the address of the killed process was returned"
finish
