#!/bin/sh
# Checks that the stand-ins of the cases 6 to 10 can run: they are plain Python
# and use the standard library only, so that there is nothing to build.
cd "$(dirname "$0")" || exit 2
exec python3 -B -c '
import glob, sys
assert sys.version_info >= (3, 11), "Python 3.11 is needed"
for path in ["standins_2.py", *sorted(glob.glob("*/case.py"))]:
    compile(open(path, encoding="utf-8").read(), path, "exec")
'
