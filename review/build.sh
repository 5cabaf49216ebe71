#!/bin/sh
# The stand-ins are plain Python of the standard library; nothing is compiled
# but a check of their syntax. `target/deps` comes from the deploy file.
cd "$(dirname "$0")/.." || exit 1
for file in review/stand_ins/*.py review/[1-5]/*.py review/recorded/*/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
