# Sourced by the run.sh of each case: starts the case's program with the deploy file's `run`.
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
here=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
root=$(cd "$here/../.." && pwd)
cd "$root" || exit 2
RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
program=build-review/case$(basename "$here")
if [ -z "$RUN" ] || [ ! -x build/violetusher ] || [ ! -x "$program" ]; then
  echo "could not run: build the deploy file's build and review/build.sh first"
  exit 2
fi
export RUN
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
trap 'kill "$child" 2>/dev/null; wait "$child"; exit 2' INT TERM
"$program" "$here" "$folder" &
child=$!
wait "$child"
code=$?
[ -s "$folder/router.log" ] && sed 's/^/router log: /' "$folder/router.log" | tail -n 40 >>"$here/record.txt"
[ $code -le 2 ] || code=2
exit $code
