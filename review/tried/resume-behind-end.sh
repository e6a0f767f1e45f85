#!/bin/sh
# Plays the trial ResumeBehindEnd; exits with 1 if sound requests failed. TROUBLE=0 leaves the resumed requests out.
exec "$(dirname "$0")/../standins/run-case.sh" target/review ResumeBehindEnd
