#!/usr/bin/env bash
# Starts or stops the processes that a layout names.
#   cluster.sh start DIR    starts each command in DIR/commands, submits DIR/ticket.json, waits until all are ready
#   cluster.sh stop DIR     stops what it started, by process number
set -euo pipefail
action=$1
dir=$2
bin=${BIN:-$(cd "$(dirname "$0")/.." && pwd)/bin}

start() {
  : >"$dir/pids"
  local n=0
  while read -r program args; do
    n=$((n + 1))
    # shellcheck disable=SC2086
    GOMAXPROCS=2 "$bin/$program" $args >"$dir/$n.log" 2>&1 &
    echo "$! $program $args" >>"$dir/pids"
  done <"$dir/commands"
  ready
  "$bin/gypsumctl" --address "$(first operators)" --token "$(token)" ticket "$dir/ticket.json"
}

field() { sed -n "s/^ *\"$1\": \"\(.*\)\",\{0,1\}$/\1/p" "$dir/layout.json"; }
first() { sed -n 's/^operators = //p' "$dir"/*-e00.ini; }
token() { field Token; }

ready() {
  local address
  for ini in "$dir"/*-e[0-9][0-9].ini; do
    address=$(sed -n 's/^operators = //p' "$ini")
    for _ in $(seq 200); do
      if "$bin/gypsumctl" --address "$address" --token "$(token)" --json state 2>/dev/null | grep -q '"ready": true'; then
        continue 2
      fi
      sleep 0.1
    done
    echo "$ini is not ready" >&2
    exit 1
  done
}

stop() {
  [ -f "$dir/pids" ] || return 0
  local pid
  while read -r pid _; do kill -TERM "$pid" 2>/dev/null || true; done < <(tac "$dir/pids")
  while read -r pid _; do
    for _ in $(seq 100); do
      kill -0 "$pid" 2>/dev/null || break
      sleep 0.1
    done
  done <"$dir/pids"
  rm -f "$dir/pids"
}

"$action"
