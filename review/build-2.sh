#!/bin/bash
# Builds what the scripts in review/4 and later start: the stand-ins are plain
# Python without libraries, so it is enough that they compile, and that the
# product's libraries lie where the build of the deploy file puts them.
cd "$(dirname "$0")/.." || exit 2
python3 -S - <<'CHECK' || exit 2
import pathlib

for path in [pathlib.Path("review/fleet.py"), *pathlib.Path("review").glob("[4-8]/*.py")]:
    compile(path.read_text(), str(path), "exec")
CHECK
PYTHONPATH=target/deps:. python3 -S -m forklift --help > /dev/null || exit 2
