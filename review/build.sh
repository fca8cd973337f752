#!/usr/bin/env bash
# Builds what the scripts of this folder start beside slatestalld. The stand-ins
# are Python programs that need the standard library only.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
python3 - <<'P'
import pathlib
for path in pathlib.Path(".").rglob("*.py"):
    compile(path.read_text(), str(path), "exec")
P
echo "stand-ins are ready"
