# The official OpenAI client for Node works with an entry.
. "$(dirname "$0")/lib.sh"
fleet 1 1
cp tests/node/package.json tests/node/chat.mjs "$FLEET/"
(cd "$FLEET" && npm install --no-package-lock --no-audit --no-fund --silent) || problem "npm install failed"
expect client "$(cd "$FLEET" && timeout 60 node chat.mjs "$(caller_address 1)" 2>&1)" '^whole$'
finish
