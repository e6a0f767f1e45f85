#!/bin/sh
# Runs a case: run-case.sh FOLDER CLASS. Exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/almondslip-gateway.jar ] && [ -f "target/review/org/almondslip/adapter/$2.class" ] || {
  echo "build the deploy file and run review/build.sh first" >&2
  exit 2
}
java -cp target/review:target/almondslip-gateway.jar "org.almondslip.adapter.$2" "$1/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
