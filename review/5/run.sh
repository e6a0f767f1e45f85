#!/bin/sh
# Exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
exec "$(dirname "$0")/../standins/run-case.sh" review/5 Case5
