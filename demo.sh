#!/usr/bin/env bash
# Demonstrates the whole service with stand-in servers: ./demo.sh [favonio|bolhas]
# Installs missing packages, builds, and starts a deployment on loopback. Exits
# with code 0 only if every check below passes.
set -euo pipefail
cd "$(dirname "$0")"
example=${1:-favonio}
if [ ! -d "examples/$example" ]; then
  echo "demo.sh: \"$example\" is not allowed; allowed: favonio, bolhas" >&2
  exit 2
fi
scripts/install.sh
cmake --preset release >/dev/null
cmake --build --preset release | tail -1
BIN=$PWD/build/release
. scripts/stack.sh

run=$(mktemp -d)
trap 'stack_kill "$run"; rm -rf "$run"' EXIT
case $example in
  favonio)
    desk=favonio-desk order=order check=check-order model=order-desk
    stock=stock-desk lookup=stock-lookup
    trainer=blend-note note=tasting-note notes=tasting-note group=4 quorum=4
    operator=lead
    ;;
  bolhas)
    desk=vendor-app order=refill-order check=check-order model=refill-app
    stock=warehouse lookup=stock-sync
    trainer=mix-recipe note=recipe-trial notes=recipe group=4 quorum=3
    operator=dona-cida
    ;;
esac

say() { printf '  %-11s %s\n' "$1" "$2"; }
fail() {
  echo "NOT OBSERVED: $1" >&2
  tail -n 3 "$run"/log/* >&2
  exit 1
}
token() { awk -v name="$1" '$1 == name { print $3 }' "$run/tokens"; }
# Sends a request: request PRINCIPAL METHOD URL [curl arguments...]
request() {
  local principal=$1 method=$2 url=$3
  shift 3
  curl -sS -m 30 -X "$method" -H "Authorization: Bearer $(token "$principal")" \
    "$@" "http://$url"
}

echo "Starting $example: $(wc -l <"examples/$example/instances") instances."
stack_start "examples/$example" "$run" default
entry=$(jq -r .entries[0] "$run/stack.json")

addresses=$(request "$desk" GET "$entry/v1/addresses")
count=$(jq '.addresses | length' <<<"$addresses")
[ "$count" -ge 1 ] || fail "addresses for a caller: $addresses"
home=$(jq -r '.addresses[0].endpoint' <<<"$addresses")
ticket=$(jq -r '.addresses[0].ticket' <<<"$addresses")
say addresses "$count returned, valid for $(jq .ttl_ms <<<"$addresses") ms; first is $home"

# Places an order and prints the answer: place SEQUENCE KIND IDEMPOTENT
place() {
  jq -nc --arg id "$ticket.$1" --arg kind "$2" --arg model "$model" \
    --argjson idempotent "$3" '{ id: $id, kind: $kind, model: $model,
      prompt: ("len=30 order " + $id), max_tokens: 100,
      idempotent: $idempotent }' |
    request "$desk" POST "$home/v1/orders" -N --data-binary @-
}
for kind in "$check true" "$order false"; do
  set -- $kind
  answer=$(place "$([ "$2" = true ] && echo 1 || echo 2)" "$1" "$2")
  last=$(tail -n 1 <<<"$answer")
  [ "$(jq -r '.event + .verdict' <<<"$last")" = donedone ] ||
    fail "answer to $1: $answer"
  tokens=$(jq -s 'map(select(.event == "tokens") | .tokens) | add' <<<"$answer")
  [ "$tokens" = 30 ] || fail "30 tokens of $1, got $tokens"
  say "$1" "idempotent=$2: complete answer, 30 tokens in $(($(wc -l <<<"$answer") - 1)) pieces, weights $(jq -c '[.segments[].version]' <<<"$last")"
done
again=$(place 2 "$order" false | tail -n 1)
[ "$(jq -r .verdict <<<"$again")" = done ] || fail "repeated order: $again"
runs=0
for engine in $(jq -r '.standins.servers[] | select(.role == "engine") | .endpoint' "$run/stack.json"); do
  n=$(curl -sS "http://$engine/ledger" | jq --arg id "$ticket.2" '[.runs[] | select(.prompt | endswith($id))] | length')
  runs=$((runs + n))
done
[ "$runs" = 1 ] || fail "the repeated order ran $runs times"
say "$order" "sent again with the same identifier: same verdict, ran once"

stockAddresses=$(request "$stock" GET "$entry/v1/addresses")
call=$(request "$stock" POST "$(jq -r '.addresses[0].endpoint' <<<"$stockAddresses")/v1/calls/stock/items/7" \
  -H "X-Request-Id: $(jq -r '.addresses[0].ticket' <<<"$stockAddresses").1" \
  -H "X-Kind: $lookup" -H "X-Idempotent: false" -H 'Content-Type: application/json' \
  -d '{"amount":2}' -w '\n%{http_code}')
[ "$(tail -n 1 <<<"$call")" = 200 ] || fail "call to a plain service: $call"
say "$lookup" "routed to a plain service: status 200"

step=$(jq -nc --arg model "$notes" --arg kind "$note" --argjson g "$group" --argjson q "$quorum" '
  { step: "step-1", opening: 1, model: $model, kind: $kind,
    prompts: [range(4) | "len=\(20 + . * 10) note \(.)"],
    group_size: $g, quorum: $q, max_tokens: 200, have: [], version: 1 }')
opened=$(request "$trainer" POST "$home/v1/steps" -d "$step")
jq -e '.error | not' <<<"$opened" >/dev/null || fail "step opened: $opened"
have='[]' samples=0 pulled='{}'
for _ in $(seq 50); do
  pulled=$(jq -nc --argjson have "$have" '{ opening: 1, have: $have, version: 1, wait_ms: 1000 }' |
    request "$trainer" POST "$home/v1/steps/step-1/pull" -d @-)
  jq -e .samples <<<"$pulled" >/dev/null || fail "samples of a step: $pulled"
  have=$(jq -c --argjson have "$have" '$have + [.samples[] | { group, index }]' <<<"$pulled")
  samples=$((samples + $(jq '.samples | length' <<<"$pulled")))
  jq -e '[.samples[] | select((.segments | length) == 0 or .score == null)] | length == 0' \
    <<<"$pulled" >/dev/null || fail "versions and scores: $pulled"
  [ "$(jq .complete <<<"$pulled")" = true ] && break
done
[ "$(jq .complete <<<"$pulled")" = true ] || fail "a complete step: $pulled"
[ "$(jq 'unique | length' <<<"$have")" = "$samples" ] || fail "each sample once"
jq -nc --argjson have "$have" '{ opening: 1, have: $have }' |
  request "$trainer" POST "$home/v1/steps/step-1/ack" -d @- >/dev/null ||
  fail "acknowledgement"
request "$trainer" DELETE "$home/v1/steps/step-1" >/dev/null
say step "4 groups of $group, quorum $quorum: $samples scored samples, each once, with their versions"

LENTILRACK_TOKEN=$(token "$operator") "$BIN/lentilrackctl" --entry "$home" \
  table set "$desk/$order" weight=11 --yes --wait >"$run/edit" 2>&1 ||
  fail "edit of a row: $(cat "$run/edit")"
revision=$(request "$operator" GET "$home/admin/table" | jq .revision)
for file in "$run"/addr/*; do
  seen=$(request "$operator" GET "$(jq -r .http "$file")/state" | jq .table_revision)
  [ "$seen" -ge "$revision" ] || fail "revision $revision at $file: $seen"
done
say edit "row $desk/$order has weight 11, revision $revision in force at all $(ls "$run/addr" | wc -l) processes"

stack_stop "$run" || fail "graceful shutdown"
say shutdown "all processes ended with code 0"
echo "All observed."
