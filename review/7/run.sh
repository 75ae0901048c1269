#!/bin/bash
# 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x build/violetusher ] && [ -x build-review-2/case-7 ] || {
  echo "run the build of deploy/balancer.toml and review/build-2.sh first" >&2
  exit 2
}
exec build-review-2/case-7 review/7/record.txt
