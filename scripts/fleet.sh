# Functions that start and stop the demonstration's processes. Sourced by other scripts.
# Needs: bin (folder of the programs), run (folder for logs). Ends only what it started.

daemon_names=(thamel patan bhaktapur suva nausori lautoka)
daemon_zones=(hall-thamel hall-patan hall-bhaktapur suva-hall nausori-hall lautoka-hall)
daemon_regions=(bagmati bagmati bagmati viti-levu viti-levu viti-levu)
declare -A process_ids=()

start_platform() {
  "$bin/linenpier-platform" --settings settings/demo/platform.toml --seed "${seed:-1}" \
    --log warning >"$run/platform.log" 2>&1 &
  process_ids[platform]=$!
}

# start_daemon INDEX [EXTRA FLAGS]
start_daemon() {
  local i=$1
  shift
  "$bin/linenpierd" --settings settings/demo/daemon.toml \
    --set "daemon.id=d-${daemon_names[i]}" --set "daemon.zone=${daemon_zones[i]}" \
    --set "daemon.region=${daemon_regions[i]}" --set "daemon.http=127.0.0.1:710$((i + 1))" \
    --set "daemon.control=127.0.0.1:720$((i + 1))" \
    --set "daemon.advertise=127.0.0.1:730$((i + 1))" "$@" >>"$run/d-${daemon_names[i]}.log" 2>&1 &
  process_ids[d$i]=$!
}

# wait_for URL: until it answers with success, at most 20 s.
wait_for() {
  local tries
  for ((tries = 0; tries < 200; tries++)); do
    curl -fsS -o /dev/null "$1" 2>/dev/null && return 0
    sleep 0.1
  done
  echo "no answer from $1" >&2
  return 1
}

start_fleet() {
  start_platform
  wait_for http://127.0.0.1:7400/healthz
  local i
  for i in "${!daemon_names[@]}"; do start_daemon "$i" "$@"; done
  for i in "${!daemon_names[@]}"; do wait_for "http://127.0.0.1:710$((i + 1))/readyz"; done
}

control() { "$bin/linenpierctl" --daemon 127.0.0.1:7101 --key demonstration-operator "$@"; }

put_configuration() {
  control template put lookup settings/demo/template-lookup.json
  control template put training settings/demo/template-training.json
  control tenant put licence-firm settings/demo/tenant-licence-firm.json
  control tenant put vanua-waves settings/demo/tenant-vanua-waves.json
}

# wait_in_force REVISION: until every daemon has it.
wait_in_force() {
  local i tries
  for i in "${!daemon_names[@]}"; do
    for ((tries = 0; tries < 200; tries++)); do
      curl -fsS "http://127.0.0.1:710$((i + 1))/metrics" | grep -q "config_revision\"} $1\$" && break
      sleep 0.1
    done
  done
}

# stop_fleet: asks all to stop, and after 40 s ends what has not.
stop_fleet() {
  local name tries
  for name in "${!process_ids[@]}"; do kill -TERM "${process_ids[$name]}" 2>/dev/null || true; done
  for ((tries = 0; tries < 400; tries++)); do
    local alive=0
    for name in "${!process_ids[@]}"; do kill -0 "${process_ids[$name]}" 2>/dev/null && alive=1; done
    [ "$alive" = 0 ] && break
    sleep 0.1
  done
  for name in "${!process_ids[@]}"; do
    if kill -0 "${process_ids[$name]}" 2>/dev/null; then
      echo "$name did not stop in time" >&2
      kill -KILL "${process_ids[$name]}" 2>/dev/null || true
    fi
    wait "${process_ids[$name]}" 2>/dev/null || true
  done
  process_ids=()
}
