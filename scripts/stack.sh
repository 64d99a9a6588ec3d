# Functions that start and stop a complete deployment on loopback: the stand-in
# servers, and an entry and a dispatch process for each instance of an example.
# Sourced by demo.sh and bench.sh, which set BIN to the directory of the programs.

# Starts a deployment and waits until it is ready:
# stack_start EXAMPLE RUN_DIRECTORY POLICY
stack_start() {
  local example=$1 run=$2 policy=$3
  mkdir -p "$run/log" "$run/addr" "$run/pid" "$run/data"
  LENTILRACK_LINK_SECRET=$(head -c 24 /dev/urandom | base64)
  export LENTILRACK_LINK_SECRET
  "$BIN/lentilrack-standins" --config "$example/standins.json" \
    --address-file "$run/standins.json" 2>"$run/log/standins" &
  echo $! >"$run/pid/standins"
  stack_wait_file "$run/standins.json"
  local kv instances weights
  kv=$(jq -r .kv "$run/standins.json")
  instances=$(jq -r .instance_list "$run/standins.json")
  weights=$(jq -r .weights "$run/standins.json")
  stack_tokens "$example" "$run"
  "$BIN/lentilrackctl" bootstrap --kv "$kv" --table "$example/table.csv" \
    --principals "$run/principals.csv" >/dev/null
  local name domain disk
  while read -r name domain disk; do
    local common=(--name "$name" --failure-domain "$domain" --kv "$kv"
      --instance-list "$instances" --weight-store "$weights"
      --policy "$policy")
    local data=()
    if [ "$disk" = disk ]; then
      mkdir -p "$run/data/$name"
      data=(--data-dir "$run/data/$name")
    fi
    "$BIN/lentilrack-dispatch" "${common[@]}" "${data[@]}" \
      --address-file "$run/addr/$name-dispatch" \
      2>"$run/log/$name-dispatch" &
    echo $! >"$run/pid/$name-dispatch"
    "$BIN/lentilrack-entry" "${common[@]}" \
      --address-file "$run/addr/$name-entry" 2>"$run/log/$name-entry" &
    echo $! >"$run/pid/$name-entry"
  done <"$example/instances"
  while read -r name domain disk; do
    stack_wait_file "$run/addr/$name-entry"
    stack_wait_file "$run/addr/$name-dispatch"
  done <"$example/instances"
  stack_wait_ready "$run"
  stack_describe "$example" "$run" >"$run/stack.json"
}

# Generates a random bearer token for each principal.
stack_tokens() {
  local example=$1 run=$2 name role token
  echo name,role,token >"$run/principals.csv"
  while IFS=, read -r name role; do
    [ "$name" = name ] && continue
    token=$(head -c 18 /dev/urandom | base64 | tr '+/' '-_')
    echo "$name,$role,$token" >>"$run/principals.csv"
    echo "$name $role $token" >>"$run/tokens"
  done <"$example/principals.csv"
}

# Waits up to 10 s until the file exists and is not empty.
stack_wait_file() {
  local i
  for i in $(seq 200); do
    [ -s "$1" ] && return 0
    sleep 0.05
  done
  echo "file $1 was not written in time" >&2
  return 1
}

# Waits until every process has a table in force and at least one backend server,
# and lists all processes as members.
stack_wait_ready() {
  local run=$1 file operator expected i ready
  operator=$(awk '$2 == "operator" { print $3; exit }' "$run/tokens")
  expected=$(ls "$run/addr" | wc -l)
  for i in $(seq 200); do
    ready=0
    for file in "$run"/addr/*; do
      if curl -sf -m 2 -H "Authorization: Bearer $operator" \
        "http://$(jq -r .http "$file")/state" |
        jq -e --argjson n "$expected" \
          '.table_revision > 0 and (.members | length) == $n
           and .backend_servers > 0' >/dev/null; then
        ready=$((ready + 1))
      fi
    done
    [ "$ready" = "$expected" ] && return 0
    stack_all_alive "$run" || return 1
    sleep 0.1
  done
  echo "only $ready of $expected processes are ready" >&2
  return 1
}

# Fails if a process of the run has exited.
stack_all_alive() {
  local file
  for file in "$1"/pid/*; do
    kill -0 "$(cat "$file")" 2>/dev/null || {
      echo "$(basename "$file") has exited: $(tail -n 2 "$1/log/$(basename "$file")")" >&2
      return 1
    }
  done
}

# Prints the JSON description of the deployment for lentilrack-load.
stack_describe() {
  local example=$1 run=$2
  jq -n --slurpfile config "$example/standins.json" \
    --slurpfile standins "$run/standins.json" \
    --argjson entries "$(for f in "$run"/addr/*-entry; do jq .http "$f"; done | jq -s .)" \
    --argjson tokens "$(awk '{ print $1, $3 }' "$run/tokens" |
      jq -R 'split(" ") | { (.[0]): .[1] }' | jq -s add)" \
    '{ entries: $entries, tokens: $tokens, standins: $standins[0],
      config: $config[0] }'
}

# Terminates all processes of the run. Fails if an entry or dispatch process does
# not shut down gracefully.
stack_stop() {
  local run=$1 failed=0 file pid
  for file in "$run"/pid/*-entry "$run"/pid/*-dispatch; do
    [ -e "$file" ] && kill -TERM "$(cat "$file")" 2>/dev/null || true
  done
  for file in "$run"/pid/*-entry "$run"/pid/*-dispatch; do
    [ -e "$file" ] || continue
    pid=$(cat "$file")
    wait "$pid" || {
      echo "$(basename "$file") exited with code $?" >&2
      failed=1
    }
  done
  kill "$(cat "$run/pid/standins")" 2>/dev/null
  wait "$(cat "$run/pid/standins")" 2>/dev/null
  return $failed
}

# Kills all processes that still run; for exit traps.
stack_kill() {
  local run=$1 file
  for file in "$run"/pid/*; do
    [ -e "$file" ] && kill -KILL "$(cat "$file")" 2>/dev/null || true
  done
  return 0
}
