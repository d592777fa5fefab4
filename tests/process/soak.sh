# A short seeded run of the soak; docs/SOAK.md tells of the longer ones. Seeds that
# ever failed stay in tests/soak/seeds.txt.
cd "$(dirname "$0")/../.."
export BIN=${BIN:-$PWD/build}
status=0
# More gateways than follow the store.
timeout 100 node tests/soak/soak.mjs --seed 3 --seconds 8 --gateways 6 || status=1
for seed in 1 2 $(grep -oE '^[0-9]+' tests/soak/seeds.txt); do
  timeout 100 node tests/soak/soak.mjs --seed "$seed" --seconds 8 || status=1
done
exit $status
