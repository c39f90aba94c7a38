#!/bin/sh
# Runs 2 balancers, 3 agents and the stand-ins (test doubles of fabric, platform,
# upstreams and callers) as processes on loopback. Waits until $FLOWS flows are open,
# prints the report of the stand-ins, and stops all processes by their ids.
set -eu
cd "$(dirname "$0")/.."
flows=${FLOWS:-60}
# Number of checks for open flows, one every 200 ms.
tries=${TRIES:-150}
report=http://127.0.0.1:7103/report
work=$(mktemp -d)
pids=""

# After the first signal an agent waits until its flows have ended, and the stand-ins
# end none of them. The second signal ends the agent at once.
stop() {
  for _ in 1 2; do
    for pid in $pids; do
      kill "$pid" 2>/dev/null || true
    done
    sleep 0.5
  done
  for pid in $pids; do
    wait "$pid" 2>/dev/null || true
  done
  rm -rf "$work"
}
trap stop EXIT
trap 'exit 130' INT TERM

start() {
  "$work/$1" --settings "docs/examples/$2.yaml" 2>"$work/$2.log" &
  pids="$pids $!"
}

go build -o "$work/" ./cmd/hickory-balancer ./cmd/hickory-agent ./cmd/hickory-standin
start hickory-standin standin
for number in 0 1 2; do start hickory-agent "agent-$number"; done
for number in 0 1; do start hickory-balancer "balancer-$number"; done

open=0
while [ "$tries" -gt 0 ]; do
  answer=$(curl -s "$report" || true)
  open=$(printf '%s' "$answer" | sed -n 's/.*"open":\([0-9]*\).*/\1/p')
  if [ "${open:-0}" -ge "$flows" ]; then
    break
  fi
  tries=$((tries - 1))
  sleep 0.2
done
echo "$answer"
if [ "${open:-0}" -lt "$flows" ]; then
  echo "only ${open:-0} of $flows flows are open; logs follow" >&2
  tail -n 5 "$work"/*.log >&2
  exit 1
fi
echo "$open flows are open"
