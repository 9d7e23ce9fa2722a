#!/usr/bin/env bash
# Writes record.txt beside it: what was sent, answered and run.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
exec timeout --signal=TERM --kill-after=2 118 python3 -B "$(dirname "$0")/play.py"
