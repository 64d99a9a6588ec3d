#!/usr/bin/env bash
# Runs load scenarios with both policies: ./bench.sh [--seed N] [NAME...]
# Prints one JSON object per scenario and policy to standard output, and a table
# to standard error. Exits with code 0 only if every scenario ran to completion.
set -euo pipefail
cd "$(dirname "$0")"
seed=1
names=()
while [ $# -gt 0 ]; do
  case $1 in
    --seed)
      [[ ${2:-} =~ ^[0-9]+$ ]] || {
        echo "bench.sh: --seed: \"${2:-}\" is not allowed; allowed: a number" >&2
        exit 2
      }
      seed=$2
      shift 2
      ;;
    -h | --help)
      sed -n '2,4s/^# //p' "$0"
      exit 0
      ;;
    -*)
      echo "bench.sh: unknown flag $1; allowed: --seed N" >&2
      exit 2
      ;;
    *)
      names+=("$1")
      shift
      ;;
  esac
done
scripts/install.sh
cmake --preset release >/dev/null
cmake --build --preset release >&2
BIN=$PWD/build/release
. scripts/stack.sh
mapfile -t known < <("$BIN/lentilrack-load" --list | awk '{ print $1 }')
[ ${#names[@]} -gt 0 ] || names=("${known[@]}")
for name in "${names[@]}"; do
  [[ " ${known[*]} " == *" $name "* ]] || {
    echo "bench.sh: unknown scenario \"$name\"; allowed: ${known[*]}" >&2
    exit 2
  }
done

# Prints the duration of one phase in seconds. Short enough that a scenario takes
# less than 60 s with both policies.
duration() {
  case $1 in
    mixed-length) echo 8 ;;
    slow-servers) echo 11 ;;
    trainer-step) echo 16 ;;
    weights-change) echo 16 ;;
    kv-outage) echo 10 ;;
    *) echo 10 ;;
  esac
}

# Injects the fault of the scenario into one instance, 3 s after the load starts.
inject() {
  local scenario=$1 run=$2 entry dispatch
  entry=$(cat "$run/pid/middle-1-entry")
  dispatch=$(cat "$run/pid/middle-1-dispatch")
  sleep 3
  case $scenario in
    instance-crash) kill -KILL "$entry" "$dispatch" ;;
    instance-pause)
      kill -STOP "$entry" "$dispatch"
      sleep 4
      kill -CONT "$entry" "$dispatch"
      ;;
    drain) kill -TERM "$entry" "$dispatch" ;;
  esac
}

run=
trap '[ -z "$run" ] || { stack_kill "$run"; rm -rf "$run"; }' EXIT
results=$(mktemp)
status=0
for name in "${names[@]}"; do
  for policy in default baseline; do
    run=$(mktemp -d)
    stack_start examples/bench "$run" "$policy"
    case $name in
      instance-crash | instance-pause | drain) inject "$name" "$run" & ;;
    esac
    "$BIN/lentilrack-load" --scenario "$name" --policy "$policy" \
      --seed "$seed" --duration "$(duration "$name")" \
      --stack "$run/stack.json" | tee -a "$results" || status=1
    # A killed instance cannot shut down gracefully, so stack_stop must skip it.
    if [ "$name" = instance-crash ]; then
      rm "$run"/pid/middle-1-*
    fi
    stack_stop "$run" || status=1
    if [ -n "${KEEP_LOGS:-}" ]; then
      mkdir -p "$KEEP_LOGS" && cp -r "$run" "$KEEP_LOGS/$name-$policy"
    fi
    stack_kill "$run"
    rm -rf "$run"
    run=
  done
done
jq -rs '(["scenario", "policy", "requests", "done", "not_run", "unknown",
    "violations", "short_p50", "short_p99", "long_p99", "goodput",
    "extra", "idle", "stale"] | @tsv),
  (.[] | [.scenario, .policy, .requests, .done, .not_run, .unknown,
    .violations, .short_p50_ms, .short_p99_ms, .long_p99_ms, .goodput_ratio,
    .extra_attempts_ratio, .trainer_idle_ratio,
    "\(.staleness_max)/\(.staleness_bound)"] | @tsv)' "$results" |
  column -t >&2
rm -f "$results"
exit $status
