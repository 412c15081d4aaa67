#!/usr/bin/env bash
# Three members of a quorum and two sweepers; the sweeper that holds the task is killed, and the other goes on.
set -euo pipefail
cd "$(dirname "$0")/../.."
test -d .lab-venv || python3 -m venv .lab-venv
.lab-venv/bin/pip install --quiet --disable-pip-version-check --requirement requirements-fleet.txt
mkdir -p found/leases
declare -A pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true' EXIT
start() { .lab-venv/bin/python -m "$1" "examples/leases/$2.toml" 2>>"found/leases/$2.log" & pids[$2]=$!; }
quorum() { .lab-venv/bin/python -m quorum "$@"; }
holder() { quorum leases examples/leases/q0.toml | sed -n 's|^task/sweep: \(sweeper-[ab]\),.*|\1|p'; }
until_held() { for _ in $(seq 100); do h=$(holder 2>/dev/null || true); test -n "$h" && test "$h" != "${1:-}" && return; sleep 0.2; done; echo "nobody holds the task" >&2; exit 1; }

for name in q0 q1 q2; do start quorum $name; done
for name in sweeper-a sweeper-b; do start sweeper $name; done
until_held
echo "three members:"; quorum status examples/leases/q0.toml
echo; echo "who holds what:"; quorum leases examples/leases/q0.toml
first=$h
echo; echo "$first is killed:"; kill -9 "${pids[$first]}"; unset "pids[$first]"
until_held "$first"
quorum leases examples/leases/q0.toml
echo; echo "the fleet's summary, which it went on with:"
.lab-venv/bin/python -m sweeper summary examples/leases/sweeper-a.toml
