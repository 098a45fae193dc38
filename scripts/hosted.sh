#!/usr/bin/env bash
# Runs three entries of a hosted site on stand-ins, sends checked requests, and stops one entry meanwhile.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap finish EXIT
port=20900
bin/gypsum-standin hosted --listen 127.0.0.1:$port >"$work/store.log" 2>&1 &
pids+=($!)
entries=()
for n in 1 2 3; do
  base=$((port + 10 * n))
  cat >"$work/entry-$n.ini" <<INI
[instance]
edge = hosted
name = entry-$n
zone = a
callers = 127.0.0.1:$base
readiness = 127.0.0.1:$((base + 1))
peers = 127.0.0.1:$((base + 2))
forwards = 127.0.0.1:$((base + 4))
metrics = 127.0.0.1:$((base + 3))
[platform]
store = 127.0.0.1:$port
[bounds]
grace = 4s
INI
  bin/gypsum-entry --settings "$work/entry-$n.ini" --check
  bin/gypsum-entry --settings "$work/entry-$n.ini" >"$work/entry-$n.log" 2>&1 &
  pids+=($!)
  entries+=(--entry "127.0.0.1:$base")
done
for n in 1 2 3; do
  for _ in $(seq 100); do
    if (exec 3<>"/dev/tcp/127.0.0.1/$((port + 10 * n + 1))" && printf 'GET / HTTP/1.0\r\n\r\n' >&3 && head -1 <&3 | grep -q ' 200 ') 2>/dev/null; then
      continue 2
    fi
    sleep 0.1
  done
  echo "entry $n is not ready" >&2
  exit 1
done
(sleep 0.3 && kill -TERM "${pids[1]}") &
bin/gypsum-load hosted "${entries[@]}" --requests "${REQUESTS:-1000}"
