#!/bin/sh
# Writes record.txt beside this file. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
: > review/6/record.txt || exit 2
command -v node > /dev/null || exit 2
[ -f target/lovageferry.cjs ] || exit 2
exec node review/support-2/case-6.js review/6/record.txt
