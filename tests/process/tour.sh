# Runs tools/tour, which checks the response of each step.
set -euo pipefail
exec tools/tour
