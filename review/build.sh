#!/usr/bin/env bash
# Builds the stand-ins of the cases: they are plain Python, so this only compiles them and fails on an error.
# The relay is built by the deploy file, before this; its interpreter runs the stand-ins too.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/standin review/1 review/2 review/3
