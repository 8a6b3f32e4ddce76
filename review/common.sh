# Sourced by run.sh of a case: starts a small deployment and plays the case.
# play NAME TROUBLE starts the hosts and replicas of the case NAME, plays it, without its
# disruption if TROUBLE is 0, and exits.
play() {
  local name=$1 here root dir code
  export TROUBLE=$2
  here=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
  root=$(cd "$here/../.." && pwd)
  cd "$root" || exit 2
  if [ ! -x target/foxtailwall ] || [ ! -x target/review/driver ]; then
    echo "build the deploy file and run review/build.sh first" >&2
    exit 2
  fi
  dir=$(mktemp -d) || exit 2
  pids=()
  trap 'kill "${watchdog:-}" 2>/dev/null; kill -9 "${pids[@]}" 2>/dev/null; wait 2>/dev/null; rm -rf "$dir"' EXIT
  trap 'exit 2' HUP INT TERM
  target/review/driver settings "$name" "$dir" || exit 2
  while read -r id; do
    target/review/driver replica "$dir" "$id" >"$dir/log-$id" 2>&1 &
    pids+=($!)
    echo $! >"$dir/pid-$id"
  done < <(grep . "$dir/replicas")
  while read -r host role; do
    FOXTAILWALL_NODE_FILE="$dir/$host.toml" target/foxtailwall "$role" --metrics-port 9464 >"$dir/log-$host" 2>&1 &
    pids+=($!)
    echo $! >"$dir/pid-$host"
  done <"$dir/hosts"
  target/review/driver play "$name" "$dir" "$here/record.txt" &
  player=$!
  pids+=("$player")
  # The player and its watchdog run in the background, so that a signal ends the script.
  (trap 'kill "$!" 2>/dev/null; exit' TERM; sleep 105 & wait "$!"; kill -9 "$player" 2>/dev/null) &
  watchdog=$!
  wait "$player"
  code=$?
  kill "$watchdog" 2>/dev/null
  [ -z "${KEEP_LOGS:-}" ] || cp "$dir"/log-* "$KEEP_LOGS"/
  [ "$code" -le 2 ] || code=2
  exit "$code"
}
