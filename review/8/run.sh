#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/almondslip-gateway.jar ] && [ -f target/review-2/org/almondslip/review2/LateBeat.class ] || exit 2
exec java -cp target/review-2 org.almondslip.review2.LateBeat review/8
