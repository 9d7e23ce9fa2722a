# Functions that start and stop the demonstration's processes. Sourced by other scripts.
# Needs: bin (folder of the programs), run (folder for logs and process ids). Ends only what it
# started: each process's id stands in a file, so that functions in subshells see it too.

daemon_names=(thamel patan bhaktapur suva nausori lautoka)
daemon_zones=(hall-thamel hall-patan hall-bhaktapur suva-hall nausori-hall lautoka-hall)
daemon_regions=(bagmati bagmati bagmati viti-levu viti-levu viti-levu)

# All ports begin with this, so that several fleets can run side by side.
ports=${LINENPIER_PORTS:-7}

# with_ports FILE: prints the path of a copy of the file with this fleet's ports.
with_ports() {
  local copy="$run/$(basename "$1")" part
  # Expanded once: in a redirection it would be the child's id.
  part="$copy.$BASHPID"
  # Moved into place whole: other processes may be reading the copy already.
  sed "s/127\.0\.0\.1:7/127.0.0.1:$ports/g" "$1" >"$part"
  mv "$part" "$copy"
  echo "$copy"
}

# remember NAME: notes the id of the process started last.
remember() { mkdir -p "$run/pids" && echo $! >"$run/pids/$1"; }

# signal NAME SIGNAL: to the process of that name, if it is there.
signal() { kill "-$2" "$(cat "$run/pids/$1" 2>/dev/null)" 2>/dev/null; }

alive() { signal "$1" 0; }

# wait_gone NAME: until the process has ended, at most 40 s.
wait_gone() {
  local tries
  for ((tries = 0; tries < 400; tries++)); do
    alive "$1" || return 0
    sleep 0.1
  done
  return 1
}

start_platform() {
  "$bin/linenpier-platform" --settings "$(with_ports settings/demo/platform.toml)" --seed "${seed:-1}" \
    --log warning >"$run/platform.log" 2>&1 &
  remember platform
}

# start_daemon INDEX [EXTRA FLAGS]
start_daemon() {
  local i=$1
  shift
  "$bin/linenpierd" --settings "$(with_ports settings/demo/daemon.toml)" \
    --set "daemon.id=d-${daemon_names[i]}" --set "daemon.zone=${daemon_zones[i]}" \
    --set "daemon.region=${daemon_regions[i]}" --set "daemon.http=127.0.0.1:${ports}10$((i + 1))" \
    --set "daemon.control=127.0.0.1:${ports}20$((i + 1))" \
    --set "daemon.advertise=127.0.0.1:${ports}30$((i + 1))" "$@" >>"$run/d-${daemon_names[i]}.log" 2>&1 &
  remember "d$i"
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
  wait_for http://127.0.0.1:${ports}400/healthz
  local i
  for i in "${!daemon_names[@]}"; do start_daemon "$i" "$@"; done
  for i in "${!daemon_names[@]}"; do wait_for "http://127.0.0.1:${ports}10$((i + 1))/readyz"; done
}

control() { "$bin/linenpierctl" --daemon "127.0.0.1:${ports}101" --key demonstration-operator "$@"; }

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
      curl -fsS "http://127.0.0.1:${ports}10$((i + 1))/metrics" | grep -q "config_revision\"} $1\$" && break
      sleep 0.1
    done
  done
}

# stop_fleet: asks all to stop, and ends and names what has not stopped in time. The platform goes
# last, since daemons finish their work with it.
stop_fleet() {
  local file name names=()
  for file in "$run"/pids/d*; do
    [ -e "$file" ] || continue
    name=$(basename "$file")
    signal "$name" CONT
    signal "$name" TERM && names+=("$name")
  done
  for name in "${names[@]}" platform; do
    [ "$name" = platform ] && signal platform TERM
    if ! wait_gone "$name"; then
      echo "$name did not stop in time" >&2
      signal "$name" KILL
    fi
  done
  rm -rf "$run/pids"
}
