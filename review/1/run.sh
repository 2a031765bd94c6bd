#!/bin/sh
# Replaces a control node by an empty one after 200 changes of a large configuration.
# Writes record.txt beside this file. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
: > review/1/record.txt || exit 2
command -v node > /dev/null || exit 2
exec node review/support/start.js 1 review/1/record.txt
