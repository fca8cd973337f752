#!/bin/sh
# The stand-ins of this review are Python; there is nothing to compile. This
# checks that the interpreter takes them.
cd "$(dirname "$0")" || exit 1
for file in standins-2/*.py [4-8]/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
