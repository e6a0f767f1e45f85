# Shared by the scripts of this directory: builds, starts, awaits and stops the programs.
# shellcheck shell=bash

root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
version=0.1.0-SNAPSHOT

# Flags of the long-running programs, which share an instance with other work.
java_flags=(
  -Xmx96m                        # Control on a node is limited to 128 MB, of which the heap gets 96.
  -Xms16m                        # Starts small: an idle agent then holds 76 MB in place of 99 MB.
  -XX:+UseSerialGC               # One collector thread and the smallest overhead for a heap of this size.
  -Xss512k                       # Stacks are shallow; the default of 1 MB is never used.
  -XX:ReservedCodeCacheSize=32m  # The compiled code of one program fits into a fraction of the default.
  -XX:MaxDirectMemorySize=32m    # Network buffers are bounded like all other memory.
  -XX:+ExitOnOutOfMemoryError    # A process without memory stops and is replaced.
)
# One C heap for all threads: each further one holds several MB.
export MALLOC_ARENA_MAX=1

jar_of() {
  echo "$root/$1/target/almondslip-$1-$version-all.jar"
}

# Builds the shaded jars when one is missing or older than a source file.
build() {
  local module newest=
  for module in router agent cli standins bench; do
    if [ ! -f "$(jar_of "$module")" ]; then
      newest=missing
    elif [ -n "$(find "$root"/{wire,core,runtime,"$module"}/src/main "$root"/*/pom.xml \
      -newer "$(jar_of "$module")" -print -quit)" ]; then
      newest=changed
    fi
  done
  if [ -n "$newest" ]; then
    echo "building the programs" >&2
    (cd "$root" && mvn -q -B -ntp package -DskipTests -Dcheckstyle.skip -Dspotless.check.skip \
      -pl router,agent,cli,standins,bench -am >&2)
  fi
}

# run MODULE ARGUMENT...: replaces the shell by a program with the small-footprint flags.
run() {
  local jar
  jar="$(jar_of "$1")"
  shift
  exec java "${java_flags[@]}" -jar "$jar" "$@"
}

# run_tool MODULE ARGUMENT...: runs a program that is not part of the fleet with more memory. The shell
# waits for it in the background, since it would otherwise handle a signal only after the program's end.
run_tool() {
  local jar
  jar="$(jar_of "$1")"
  shift
  java -Xmx512m -jar "$jar" "$@" &
  tool_pid=$!
  wait "$tool_pid"
}

# A port range of this run, so that two runs on one machine rarely clash.
choose_base_port() {
  echo "${ALMONDSLIP_BASE_PORT:-$((20000 + $$ % 100 * 100))}"
}

# start PROGRAM NAME: starts a process in the background with the settings of its name.
start() {
  local flags=("${java_flags[@]}")
  # One process holds all stand-ins of a kind, so it needs more than a node.
  [ "$1" = standins ] && flags=(-Xmx384m -XX:+UseSerialGC)
  java "${flags[@]}" -jar "$(jar_of "$1")" --settings "$run_dir/$2.yaml" \
    >"$run_dir/$2.log" 2>&1 &
  echo $! >"$run_dir/$2.pid"
}

# http_status ADDRESS PATH: prints the status of a GET, or nothing when nobody answers.
http_status() {
  local line
  {
    exec 3<>"/dev/tcp/${1%:*}/${1##*:}" || return 0
    printf 'GET %s HTTP/1.0\r\n\r\n' "$2" >&3
    IFS= read -r -t 5 line <&3 || true
    exec 3>&-
  } 2>/dev/null
  line="${line#* }"
  echo "${line%% *}"
}

# await NAME ADDRESS [PATH]: waits until the address accepts connections, or until PATH is served.
await() {
  local name="$1" address="$2" path="${3:-}" deadline=$((SECONDS + 60)) pid
  pid="$(cat "$run_dir/$name.pid")"
  until if [ -n "$path" ]; then
    [ "$(http_status "$address" "$path")" = 200 ]
  else
    (exec 3<>"/dev/tcp/${address%:*}/${address##*:}") 2>/dev/null
  fi; do
    if ! kill -0 "$pid" 2>/dev/null || [ "$SECONDS" -ge "$deadline" ]; then
      echo "$name did not become ready; last lines of its log:" >&2
      tail -n 5 "$run_dir/$name.log" >&2
      return 1
    fi
    sleep 0.1
  done
}

# start_standins: starts the stand-ins of $run_dir/processes and fills the instance lists.
start_standins() {
  local program name address
  while read -r program name address; do
    [ "$program" = standins ] || continue
    start "$program" "$name"
    await "$name" "$address"
  done <"$run_dir/processes"
  run_tool bench register --dir "$run_dir" >/dev/null
}

# start_fleet: starts the routers and agents of $run_dir/processes.
start_fleet() {
  local program name address
  while read -r program name address; do
    [ "$program" = standins ] || start "$program" "$name"
  done <"$run_dir/processes"
  while read -r program name address; do
    [ "$program" = standins ] || await "$name" "$address" /health
  done <"$run_dir/processes"
}

# apply_ticket: creates all organisations, shares, keys and targets with the command line.
apply_ticket() {
  local deadline=$((SECONDS + 60))
  until run_tool cli --admin "$(cat "$run_dir/admin")" --key-file "$run_dir/operator.key" \
    apply "$run_dir/ticket.json" >"$run_dir/apply.log" 2>&1; do
    if [ "$SECONDS" -ge "$deadline" ]; then
      echo "the ticket was not applied:" >&2
      tail -n 5 "$run_dir/apply.log" >&2
      return 1
    fi
    sleep 0.5
  done
}

# await_ready: waits until all routers and agents take work.
await_ready() {
  local program name address
  while read -r program name address; do
    [ "$program" = standins ] || await "$name" "$address" /ready
  done <"$run_dir/processes"
}

# stop_program PROGRAM: asks the processes of a program to stop and ends them after 15 s.
stop_program() {
  local program name pid deadline=$((SECONDS + 15)) names=()
  while read -r program name _; do
    if [ "$program" = "$1" ] && [ -f "$run_dir/$name.pid" ]; then
      names+=("$name")
    fi
  done <"$run_dir/processes"
  for name in "${names[@]}"; do
    kill -TERM "$(cat "$run_dir/$name.pid")" 2>/dev/null || true
    # A process that a fault case has paused handles the signal only after it continues.
    kill -CONT "$(cat "$run_dir/$name.pid")" 2>/dev/null || true
  done
  for name in "${names[@]}"; do
    pid="$(cat "$run_dir/$name.pid")"
    while kill -0 "$pid" 2>/dev/null && [ "$SECONDS" -lt "$deadline" ]; do
      sleep 0.1
    done
    kill -KILL "$pid" 2>/dev/null || true
    rm -f "$run_dir/$name.pid"
  done
}

# stop_all: stops all processes of $run_dir/processes, routers first so that none loses its targets.
stop_all() {
  [ -z "${tool_pid:-}" ] || kill -TERM "$tool_pid" 2>/dev/null || true
  [ -f "$run_dir/processes" ] || return 0
  stop_program router
  stop_program agent
  stop_program standins
  wait 2>/dev/null || true
}

# open_run_dir: creates a directory for settings, logs and process ids and stops all at the end.
open_run_dir() {
  run_dir="$(mktemp -d)"
  trap 'status=$?; trap - EXIT; stop_all; exit $status' EXIT
  trap 'exit 130' INT
  trap 'exit 143' TERM
  echo "logs are in $run_dir" >&2
}
