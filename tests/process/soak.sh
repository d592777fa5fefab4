# Short soak runs with fixed seeds; docs/SOAK.md describes the longer ones. Seeds
# that have failed are kept in tests/soak/seeds.txt and run each time.
cd "$(dirname "$0")/../.."
export BIN=${BIN:-$PWD/build}
status=0
# Six gateways, more than the three that watch the store.
timeout 100 node tests/soak/soak.mjs --seed 3 --seconds 8 --gateways 6 || status=1
for seed in 1 2 $(grep -oE '^[0-9]+' tests/soak/seeds.txt); do
  timeout 100 node tests/soak/soak.mjs --seed "$seed" --seconds 8 || status=1
done
exit $status
