#!/usr/bin/env bash
# Runs case 11. It needs the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/figweir ] || [ ! -x target/review-11 ]; then
  echo "target/figweir or target/review-11 is missing" >&2
  exit 2
fi
exec target/review-11
