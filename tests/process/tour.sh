# The whole path: tools/tour checks what came back at each step.
set -euo pipefail
exec tools/tour
