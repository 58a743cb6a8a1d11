#!/usr/bin/env bash
# The stand-ins are written in Python's standard library; this checks that they
# can be loaded. The project itself is built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for it in standins/standin.py [1-5]/play.py; do
  python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$it"
done
