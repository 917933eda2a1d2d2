#!/usr/bin/env bash
# Plays the case after the build of the deploy file and review/build-2.sh. TROUBLE=0 leaves the disruption
# out. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/medlarslip-platform ] || [ ! -x target/review-2/drill ]; then
  echo "build first: the command of deploy/system.toml, and review/build-2.sh"
  exit 2
fi
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then
  trouble=false
fi
exec target/review-2/drill -case leaving -trouble=$trouble -record review/10/record.txt
