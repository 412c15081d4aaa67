#!/usr/bin/env bash
# From a fresh clone to a fleet under a fault, and its page: needs Python 3.11 with venv, nothing else.
set -euo pipefail
cd "$(dirname "$0")"
test -d .lab-venv || python3 -m venv .lab-venv
.lab-venv/bin/pip install --quiet --disable-pip-version-check --requirement requirements-fleet.txt \
    --requirement requirements-lab.txt
exec .lab-venv/bin/python -m fleetlab demo "$@"
