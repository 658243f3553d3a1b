#!/usr/bin/env bash
# Runs the whole system on the loopback interface in less than a minute: an emulated platform,
# 8 emulated workers and 4 entry hosts in 2 failure domains, as separate processes. Applies a
# signed configuration, sends 4,000 requests, runs 100 jobs, prints latency by class,
# evictions and throughput, explains one placement and stops all processes. DEMO_PORT sets the
# first of the 30 ports, DEMO_KEEP=1 keeps the logs.
set -euo pipefail
cd "$(dirname "$0")/.."
started=$SECONDS
port=${DEMO_PORT:-27300}
dir=$(mktemp -d)
pids=()
names=()

# stop PREFIX ends the processes of this script whose names begin with PREFIX.
stop() {
  local i pid
  for i in "${!pids[@]}"; do
    [[ ${names[i]} == "$1"* ]] && kill -TERM "${pids[i]}" 2>/dev/null
  done
  for i in "${!pids[@]}"; do
    [[ ${names[i]} == "$1"* ]] || continue
    pid=${pids[i]}
    for _ in $(seq 200); do
      kill -0 "$pid" 2>/dev/null || break
      sleep 0.1
    done
    if kill -0 "$pid" 2>/dev/null; then
      echo "demo: ${names[i]} did not stop within 20 s, killing it" >&2
      kill -QUIT "$pid" 2>/dev/null # writes goroutine stacks to the log, which DEMO_KEEP=1 keeps
      sleep 1
      kill -KILL "$pid" 2>/dev/null
      failed=1
    elif ! wait "$pid"; then
      echo "demo: ${names[i]} ended with an error, its last lines:" >&2
      tail -n 5 "$dir/${names[i]}.log" >&2
      failed=1
    fi
    unset "pids[i]" "names[i]"
  done
}

# stop_all ends all processes, the entry hosts before the workers and the platform that they use.
stop_all() {
  stop entry-
  stop workers-
  stop platform
}
failed=0

finish() {
  local code=$?
  set +e
  stop_all
  if [ "$code" -ne 0 ]; then
    echo "demo: failed, last lines of the entry hosts:" >&2
    tail -qn 5 "$dir"/entry-*.log >&2 2>/dev/null || true
  fi
  if [ "${DEMO_KEEP:-0}" = 1 ]; then
    echo "demo: logs are in $dir"
  else
    rm -rf "$dir"
  fi
  [ "$code" -eq 0 ] && code=$failed
  exit "$code"
}
trap finish EXIT

# start NAME COMMAND... starts a background process that writes its output to NAME.log.
start() {
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pids+=($!)
  names+=("$name")
}

# wait_line NAME TEXT waits up to 10 s until the process NAME has printed TEXT.
wait_line() {
  for _ in $(seq 200); do
    grep -q "$2" "$dir/$1.log" 2>/dev/null && return 0
    sleep 0.05
  done
  echo "demo: $1 did not print \"$2\" within 10 s" >&2
  return 1
}

echo "== build"
go build -o "$dir/" ./cmd/standin ./cmd/peridotpitch
peridotpitch=$dir/peridotpitch
standin=$dir/standin

platform=127.0.0.1:$port
domains=(plovdiv haskovo)
hosts=(entry-1 entry-2 entry-3 entry-4) # entry-1 and entry-2 are in the first failure domain
domain_of() { echo "${domains[$((($1 - 1) / 2))]}"; }

echo "== platform and workers"
start platform "$standin" platform -listen "$platform"
for d in 0 1; do
  start "workers-${domains[d]}" "$standin" worker -count 4 -name "${domains[d]}-worker" \
    -listen "127.0.0.1:$((port + 1 + 4 * d))" -cores 16 -memory 60 -service-time 4ms -seed 7
done
wait_line platform listening
for d in "${domains[@]}"; do wait_line "workers-$d" "worker-4"; done

echo "== configuration"
$peridotpitch config keygen -name demo -out "$dir/demo.key" >"$dir/key.ini"
{
  printf '[Configuration]\nGeneration = 1\nReplaces = 0\nFirm = Demonstration\n\n'
  printf '[Measures]\nLatency = 10\nEvictions = 1\nThroughput = 3\n\n'
  printf '[FailureDomain "plovdiv"]\nRegion = south\nSuccessor = haskovo\n\n'
  printf '[FailureDomain "haskovo"]\nRegion = south\nSuccessor = plovdiv\n\n'
  for i in 1 2 3 4; do
    printf '[EntryHost "%s"]\nFailureDomain = %s\nAddress = 127.0.0.1:%d\n\n' "${hosts[i - 1]}" "$(domain_of $i)" $((port + 12 + i))
  done
  for d in 0 1; do
    for i in 1 2 3 4; do
      printf '[Worker "%s-worker-%d"]\nFailureDomain = %s\nRack = %s-rack-%d\nShard = 1\nAddress = 127.0.0.1:%d\nCores = 16\nMemory = 60GB\n\n' \
        "${domains[d]}" $i "${domains[d]}" "${domains[d]}" $(((i + 1) / 2)) $((port + 4 * d + i))
    done
  done
  printf '[Service "quotes"]\nClass = quotes\nInstances = plovdiv:3, haskovo:3\nCores = 2\nMemory = 4GB\nLatencyTarget = 100ms\n\n'
  printf '[Service "orders"]\nClass = orders\nInstances = plovdiv:2, haskovo:2\nCores = 2\nMemory = 4GB\nLatencyTarget = 250ms\n\n'
  printf '[JobClass "die-plan"]\nCores = 2\nMemory = 4GB\n\n'
  printf '[JobClass "trace-report"]\nCores = 1\nMemory = 2GB\n\n'
  printf '[Team "mill"]\nCores = 128\nMemory = 480GB\nShare = 2\n\n'
  printf '[Team "office"]\nCores = 128\nMemory = 480GB\nShare = 1\n'
} >"$dir/configuration.ini"
$peridotpitch config check "$dir/configuration.ini"
$peridotpitch config sign -key "$dir/demo.key" "$dir/configuration.ini"

echo "== entry hosts"
callers='' admins='' workers=''
for i in 1 2 3 4; do
  name=${hosts[i - 1]}
  caller=127.0.0.1:$((port + 16 + i)) admin=127.0.0.1:$((port + 20 + i))
  callers+=${callers:+,}$caller admins+=${admins:+,}$admin
  {
    printf '[EntryHost]\nName = %s\nFailureDomain = %s\nCallerAddress = %s\nMessageAddress = 127.0.0.1:%d\nAdminAddress = %s\n\n' \
      "$name" "$(domain_of $i)" "$caller" $((port + 12 + i)) "$admin"
    printf '[Store]\nAddress = %s\n\n' "$platform"
    for j in 1 2 3 4; do
      if [ $j -ne $i ]; then
        printf '[Peer "%s"]\nFailureDomain = %s\nAddress = 127.0.0.1:%d\n\n' "${hosts[j - 1]}" "$(domain_of $j)" $((port + 12 + j))
      fi
    done
    cat "$dir/key.ini"
  } >"$dir/$name.ini"
  start "$name" "$peridotpitch" serve -settings "$dir/$name.ini"
done
for i in $(seq 8); do workers+=${workers:+,}127.0.0.1:$((port + i)); done
export PERIDOTPITCH_ADDRESS=${admins%%,*}
for _ in $(seq 100); do
  if $peridotpitch config apply -key-name demo -by demo "$dir/configuration.ini" >"$dir/apply.log" 2>&1; then break; fi
  sleep 0.1
done
head -n 1 "$dir/apply.log"
$standin ready -entry "$callers" -services quotes,orders -tenant mill -limit 25s

echo "== 4,000 requests and 100 jobs"
$standin load -run demo -entry "$callers" -rate 400 -count 4000 -services quotes:3,orders:1 \
  -tenants mill:2,office:1 -classes normal:4,urgent:1 -repeatable 0.5 -timeout 1s \
  -admin "$admins" -jobs 100 -job-rate 20 -job-classes die-plan,trace-report -job-teams mill,office \
  -job-duration 1s -job-wait 20s -workers "$workers" | tee "$dir/load.log"

echo "== one placement, explained"
$peridotpitch explain demo-job-7 | tail -n 12

echo "== stop"
set +e
stop_all
if ! grep -q '^violations 0, overcommits 0, double starts 0, epoch conflicts 0$' "$dir/load.log"; then
  echo "demo: the stand-ins reported violations" >&2
  failed=1
fi
if [ "$failed" -eq 0 ]; then
  echo "demo: everything stopped cleanly after $((SECONDS - started)) s"
fi
exit "$failed"
