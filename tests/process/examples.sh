# The examples are valid, docs/CONFIGURATION.md is up to date, every program has
# --help and --version, and modules include only the modules that they may use.
. "$(dirname "$0")/lib.sh"
fleet_begin
for example in examples/*/; do
  "$BIN/chicory_publish" check --files "$example" || problem "$example is invalid"
done
tools/configuration-page >"$FLEET/page"
diff -u docs/CONFIGURATION.md "$FLEET/page" || problem "docs/CONFIGURATION.md is out of date: run tools/configuration-page"
for program in chicory_entry chicory_publish chicory_timeline chicory_load stand_in_engine; do
  "$BIN/$program" --help >/dev/null || problem "$program --help"
  expect "$program" "$("$BIN/$program" --version)" "^$program [0-9.]+$"
done
# allowed MODULE: the modules that it may include.
allowed() {
  case $1 in
    core) echo core ;;
    config) echo core config ;;
    decisions) echo core config decisions ;;
    calls) echo core net calls ;;
    store) echo core config calls store ;;
    routing) echo core decisions routing ;;
    net) echo core net ;;
    peers) echo core config decisions routing peers ;;
    gateway) echo core decisions routing net peers gateway ;;
    serving) echo core config decisions calls store net peers serving ;;
  esac
}
for module in core config decisions calls store routing net peers gateway serving; do
  for other in $(grep -rhoE '#include "modules/[a-z]+' modules/$module | sed 's/.*modules.//' | sort -u); do
    grep -qw "$other" <<<"$(allowed $module)" || problem "module $module must not include module $other"
  done
done
grep -rlE '#include <(thread|httplib|sys/|netinet|unistd)|absl/(time/clock|synchronization|random/random)\.h' modules/decisions &&
  problem "module decisions must not include clocks, threads, sockets or random devices"
finish
