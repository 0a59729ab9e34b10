#!/bin/sh
# The stand-ins of the scripts are Python sources, the project's own store
# among them. Nothing is compiled ahead; this checks that all of them load with
# the libraries of the deploy file alone.
set -e
cd "$(dirname "$0")/.."
test -d target/deps || {
    echo "run the build of deploy/system.toml first" >&2
    exit 1
}
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:.:review python3 -S -c '
import harness
import forklift.shell.server
import forklift_lab.store
'
