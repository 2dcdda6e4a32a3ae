#!/usr/bin/env bash
# Plays the case "funds". It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With
# TROUBLE=0 it does the same without the disruption. It writes record.txt beside this script.
cd "$(dirname "$0")" || exit 2
root="$(cd ../.. && pwd)" || exit 2
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then trouble=false; fi
for program in dotterelgap review-standin-3; do
  if [ ! -x "$root/target/$program" ]; then
    echo "target/$program is missing: run the build of the deploy file and review/build-3.sh"
    exit 2
  fi
done
timeout -s TERM -k 5 110 "$root/target/review-standin-3" -case funds -binary "$root/target/dotterelgap" \
  -record record.txt -trouble=$trouble
code=$?
if [ "$code" -ne 0 ] && [ "$code" -ne 1 ]; then exit 2; fi
exit "$code"
