#!/usr/bin/env bash
# The scripts' stand-ins are Python programs of this folder and need no build; this checks that they compile.
cd "$(dirname "$0")" || exit 2
for file in *.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
