# Sourced by the scripts that start processes. Sets dir, a temporary directory for their files, and pids, to which each
# script appends the ids of the processes that it starts. On exit these processes are stopped and the directory is removed.
cd "$(dirname "${BASH_SOURCE[0]}")/.."
dir=$(mktemp -d)
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap stop_all EXIT
