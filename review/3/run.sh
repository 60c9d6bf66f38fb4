#!/usr/bin/env bash
# Plays the case once: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# out the disruption, SEED=N draws other choices of the stand-ins. Build the deploy file and review/build.sh first.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
if [ ! -x target/dalehook-node ] || [ ! -x target/review/harness ]; then
  echo "not built: run the build line of deploy/system.toml and review/build.sh" >&2
  exit 2
fi
timeout -k 1 118 target/review/harness -case end -record "$folder/record.txt" -trouble="${TROUBLE:-1}" -seed="${SEED:-1}"
status=$?
case $status in
  0 | 1) exit $status ;;
  *) exit 2 ;;
esac
