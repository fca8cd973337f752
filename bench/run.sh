#!/usr/bin/env bash
# Runs the benches on loopback: bench/run.sh [path|faults|control|policy ...]; path and faults by default.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
if [ "$#" -eq 0 ]; then set -- path faults; fi
export PYTHONDONTWRITEBYTECODE=1
status=0
for name in "$@"; do
  if [ "$name" = policy ]; then
    ../build/bin/policy_compare --seeds 8 ../examples/traces/*.jsonl || status=1
    continue
  fi
  if [ ! -f "$name.py" ] || [ "$name" = fleet ] || [ "$name" = sites ]; then
    echo "no bench called $name; there are path, faults, control, capacity and policy" >&2
    exit 2
  fi
  python3 "$name.py" || status=1
done
exit "$status"
