#!/usr/bin/env bash
# Runs the benches on loopback: bench/run.sh [path|relay|faults|control|policy|record|operators ...]; path and faults by default.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
if [ "$#" -eq 0 ]; then set -- path faults; fi
export PYTHONDONTWRITEBYTECODE=1
status=0
for name in "$@"; do
  if [ ! -f "$name.py" ] || [ "$name" = fleet ] || [ "$name" = sites ]; then
    echo "no bench called $name; there are path, relay, faults, control, policy, record and operators" >&2
    exit 2
  fi
  python3 "$name.py" || status=1
done
exit "$status"
