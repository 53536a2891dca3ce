# Shared by the process tests, which source it with BUILD_DIR as the argument.
# Sets build_dir, counts failures in `failures` and stops the fleet at exit.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
. demo/fleet.sh
trap 'fleet_stop 2> /dev/null' EXIT
build_dir=$1
failures=0

check() { # WHAT CONDITION...
  local what=$1
  shift
  if "$@"; then echo "ok: $what"; else echo "FAILED: $what"; failures=$((failures + 1)); fi
}
