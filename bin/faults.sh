# Functions of bin/faults: the faults and the checks of processes.
# shellcheck shell=bash
# shellcheck disable=SC2154 # run_dir, base_port and seed are set by the scripts that use this file.

# Time of the load before the fault, in seconds.
lead=3

# prepare_case: starts the demo deployment and applies its ticket.
prepare_case() {
  run_tool bench prepare --deployment DEMO --dir "$run_dir" --base-port "$base_port" >/dev/null
  tables="127.0.0.2:$base_port"
  : >"$run_dir/problems"
  : >"$run_dir/notes"
  start_standins
  start_fleet
  apply_ticket
  await_ready
}

# strike_during_load NAME: sends the load of a case and strikes its fault meanwhile.
strike_during_load() {
  java -Xmx512m -jar "$(jar_of bench)" fault --fault "$1" --dir "$run_dir" \
    --base-port "$base_port" --seed "$seed" --seconds "$(load_seconds "$1")" \
    >"$run_dir/load.out" 2>"$run_dir/load.err" &
  tool_pid=$!
  until [ -f "$run_dir/load-begun" ]; do
    kill -0 "$tool_pid" 2>/dev/null || break
    sleep 0.1
  done
  sleep "$lead"
  save_metrics
  "strike_${1//-/_}"
  wait "$tool_pid" || problem "the load tool failed"
  tool_pid=
}

# save_metrics: keeps the metrics of all routers and agents beside their logs, from just before the fault.
save_metrics() {
  local name program
  while read -r program name _; do
    [ "$program" = standins ] || http_get "$(address_of "$name")" /metrics >"$run_dir/$name.metrics"
  done <"$run_dir/processes"
  note connected_agents "$(cat "$run_dir"/*.metrics |
    awk '$1 == "almondslip_connected_agents" { sum += $2 } END { print sum + 0 }')"
}

# load_seconds NAME: prints how long the load lasts; the fault has ended by then.
load_seconds() {
  case "$1" in
    term-*) echo 16 ;;
    store-* | pause-* | silent-* | cut-*) echo 14 ;;
    cold-*) echo 18 ;;
    *) echo 12 ;;
  esac
}

# problem TEXT: notes that the case failed.
problem() {
  echo "$1" >>"$run_dir/problems"
}

# note FIELD VALUE: adds a number to the result of the case.
note() {
  echo "\"$1\":$2" >>"$run_dir/notes"
}

# report NAME: prints the result of the case as one line of JSON.
report() {
  local load notes problems ok=true
  load="$(tail -n 1 "$run_dir/load.out")"
  [[ "$load" == "{"*"}" ]] || load='{"violations":["the load tool printed no result"]}'
  [[ "$load" == *'"violations":[]'* ]] || ok=false
  [ ! -s "$run_dir/problems" ] || ok=false
  problems="$(sed 's/.*/"&"/' "$run_dir/problems" | paste -sd, -)"
  notes="$(sed 's/$/,/' "$run_dir/notes" | tr -d '\n')"
  echo "{\"name\":\"$1\",\"ok\":$ok,$notes${load:1:-1},\"problems\":[$problems]}"
}

# http_get ADDRESS PATH: prints the body of the answer, or nothing when nobody answers.
http_get() {
  http_exchange "$1" "GET $2 HTTP/1.0\r\n\r\n"
}

# http_post ADDRESS PATH BODY [HEADER]: prints the body of the answer.
http_post() {
  local header="${4:+$4\r\n}Content-Type: application/json\r\n"
  http_exchange "$1" "POST $2 HTTP/1.0\r\n${header}Content-Length: ${#3}\r\n\r\n$3"
}

# http_exchange ADDRESS REQUEST: sends a request and prints the body of the answer.
http_exchange() {
  {
    exec 3<>"/dev/tcp/${1%:*}/${1##*:}" || return 0
    printf '%b' "$2" >&3
    timeout 5 sed '1,/^\r*$/d' <&3 || true
    exec 3>&-
  } 2>/dev/null
}

# number_of FIELD: reads a number from the JSON or the metrics on the standard input.
number_of() {
  sed -n "s/.*\"\{0,1\}$1\"\{0,1\}[: ] *\([0-9][0-9]*\).*/\1/p" | tail -n 1
}

# now_millis: prints the time in milliseconds.
now_millis() {
  date +%s%3N
}

# address_of NAME: prints the operations address of a router or an agent.
address_of() {
  awk -v name="$1" '$2 == name { print $3 }' "$run_dir/processes"
}

# target_of AGENT: prints the address of the target beside an agent.
target_of() {
  local operations
  operations="$(address_of "$1")"
  echo "${operations%:*}:$((base_port + 4))"
}

# revision_of NAME: prints the catalog revision that is in force on a router or an agent.
revision_of() {
  http_get "$(address_of "$1")" /metrics | grep -v '^#' | number_of catalog_revision
}

# send_signal SIGNAL NAME
send_signal() {
  kill "-$1" "$(cat "$run_dir/$2.pid")"
}

# await_exit NAME SECONDS: waits until a process has ended by itself, and checks the log of its drain.
await_exit() {
  local pid deadline=$((SECONDS + $2))
  pid="$(cat "$run_dir/$1.pid")"
  while kill -0 "$pid" 2>/dev/null; do
    if [ "$SECONDS" -ge "$deadline" ]; then
      problem "$1 did not exit within $2 s of SIGTERM"
      return 0
    fi
    sleep 0.1
  done
  grep -q '"message":"planned stop: draining"' "$run_dir/$1.log" ||
    problem "$1 did not log the start of its drain"
  grep -q '"message":"stopped"' "$run_dir/$1.log" || problem "$1 did not log the end of its drain"
}

# terminate NAME: asks a process to stop and waits for its end.
terminate() {
  local began
  began="$(now_millis)"
  send_signal TERM "$1"
  # The longest stream takes 3.3 s, on a busy machine several times as long.
  await_exit "$1" 30
  note drain_ms $(($(now_millis) - began))
}

# kill_and_restart PROGRAM NAME: ends a process at once and starts it again.
kill_and_restart() {
  send_signal KILL "$2"
  sleep 1
  start "$1" "$2"
  await "$2" "$(address_of "$2")" /ready || problem "$2 did not become ready again"
}

# pause NAME: stops a process for twice the time after which a connection counts as silent.
pause() {
  send_signal STOP "$1"
  sleep 6
  send_signal CONT "$1"
}

# link_controls: prints the addresses that take the faults of the links between regions.
link_controls() {
  sed -n 's/^ *listen: *"\{0,1\}\([0-9.:]*\).*/\1/p' "$run_dir/network.yaml"
}

# fault_links JSON: sets the faults of all links between regions.
fault_links() {
  local control
  for control in $(link_controls); do
    [[ "$(http_post "$control" /faults "$1")" == *'"set":true'* ]] ||
      problem "the faults of a link could not be set"
  done
}

# apply_objects JSON: applies a second ticket and sets the variable revision.
apply_objects() {
  local answer
  answer="$(http_post "$(cat "$run_dir/admin")" /admin/v1/tickets \
    "{\"number\":2,\"author\":\"faults\",\"note\":\"case\",\"objects\":[$1]}" \
    "Authorization: Bearer $(cat "$run_dir/operator.key")")"
  revision="$(number_of revision <<<"$answer")"
  [ -n "$revision" ] || problem "the ticket was not accepted"
}

strike_term_router() {
  terminate router-east-1
}

strike_term_agent() {
  terminate agent-east-1
}

strike_kill_router() {
  kill_and_restart router router-east-1
}

strike_kill_agent() {
  kill_and_restart agent agent-east-1
  kill_and_restart agent agent-west-2
}

strike_pause_agent() {
  pause agent-east-1
}

strike_pause_router() {
  pause router-east-1
}

# The load tool sets the fault, since it knows the requests.
strike_crash_target() {
  :
}

strike_store_down() {
  http_post "$tables" /faults '{"mode":"fail"}' >/dev/null
  sleep 8
  http_post "$tables" /faults '{}' >/dev/null
}

strike_store_loses_answers() {
  http_post "$tables" /faults '{"mode":"lose","rate":0.3}' >/dev/null
  sleep 8
  http_post "$tables" /faults '{}' >/dev/null
}

strike_silent_connection() {
  fault_links '{"silenceOpen":true}'
}

strike_cut_regions() {
  fault_links '{"cutForward":true,"cutBackward":true}'
  sleep 8
  fault_links '{}'
}

strike_leaving_target() {
  local before after
  apply_objects '{"kind":"target","name":"target-agent-east-1","pool":"chat","type":"model",
    "slots":4,"fencing":"checked","state":"leaving"}'
  sleep 2
  before="$(http_get "$(target_of agent-east-1)" /usage | number_of begun)"
  sleep 5
  after="$(http_get "$(target_of agent-east-1)" /usage | number_of begun)"
  note begun_before "${before:-0}"
  note begun_after_leaving $((${after:-0} - ${before:-0}))
  [ "${before:-0}" -gt 0 ] || problem "the target had no run before it left"
  [ "$after" = "$before" ] || problem "the leaving target got new runs after 2 s"
}

strike_ticket_spread() {
  local accepted name program late
  apply_objects '{"kind":"share","name":"dune","weight":2}'
  accepted="$(now_millis)"
  while :; do
    late=
    while read -r program name _; do
      if [ "$program" != standins ] && [ "$(revision_of "$name")" != "$revision" ]; then
        late="$late $name"
      fi
    done <"$run_dir/processes"
    [ -n "$late" ] && [ $(($(now_millis) - accepted)) -le 4000 ] || break
    sleep 0.1
  done
  note spread_ms $(($(now_millis) - accepted))
  [ -z "$late" ] || problem "revision $revision was not in force after 4 s on$late"
}

strike_cold_start_without_store() {
  local others
  http_post "$tables" /faults '{"mode":"fail"}' >/dev/null
  others="$(revision_of router-east-1)"
  terminate router-west-1
  start router router-west-1
  await router-west-1 "$(address_of router-west-1)" /ready ||
    problem "the router did not become ready without the table service"
  [ "$(revision_of router-west-1)" = "$others" ] ||
    problem "the router did not get the catalog of its peers"
  [ "$(http_status "$tables" /tables/none/none)" = 503 ] || problem "the table service was up"
  http_post "$tables" /faults '{}' >/dev/null
}
