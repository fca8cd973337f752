#!/usr/bin/env bash
# Runs the benches on loopback: bench/run.sh [NAME ...]; path and faults by default.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
benches=(path relay faults convergence control capacity policy record operators)
if [ "$#" -eq 0 ]; then set -- path faults; fi
export PYTHONDONTWRITEBYTECODE=1
status=0
for name in "$@"; do
  if [[ " ${benches[*]} " != *" $name "* ]]; then
    echo "no bench called $name; there are ${benches[*]}" >&2
    exit 2
  fi
  python3 "$name.py" || status=1
done
exit "$status"
