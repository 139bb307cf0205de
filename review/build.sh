#!/bin/sh
# The stand-ins are Python programs (lib/harness.py and the case.py of each case): only their syntax is checked here.
# The project's own programs come from the build of the deploy file.
cd "$(dirname "$0")" || exit 1
python3 - <<'PY'
import ast, glob
for name in ['lib/harness.py'] + sorted(glob.glob('[0-9]/case.py')):
    ast.parse(open(name).read(), name)
PY
