#!/usr/bin/env bash
# Plays the days of this folder on a site, a few at a time, and prints a row for
# each: the share of the worth that was served, and the rules that broke.
#   deploy/days/play.sh BENCH SITE [JOBS] [DAY ...]
set -u
bench=$1 site=$2 jobs=${3:-4}
shift $(($# < 3 ? $# : 3))
cd "$(dirname "$0")/../.."
days=("$@")
[ ${#days[@]} -gt 0 ] || days=(deploy/days/*.toml)
"$bench" build >/dev/null || exit 1

play() {
  local day=$1 out name
  name=$(basename "$day" .toml)
  out=$(timeout 300 "$bench" run "$site" "$day" --why "day of our own: $name" 2>&1)
  local figures rules
  figures=$(grep -m1 "^$name " <<<"$out" | awk '{print $4, $5, $6, $7}')
  rules=$(grep -m1 -o 'BROKEN: .*' <<<"$out")
  # What the bench says of a day that it could not play is kept.
  [ -n "$figures" ] || rules="not played: $(tail -n 1 <<<"$out")"
  printf '| %s | %s | %s |\n' "$name" "${figures// / | }" "${rules:-none}"
}
export -f play
export bench site
echo '| day | worth | served | refused | failed | broken rules |'
echo '|---|---|---|---|---|---|'
printf '%s\n' "${days[@]}" | xargs -P "$jobs" -I{} bash -c 'play {}' | sort
