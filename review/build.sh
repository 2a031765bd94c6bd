#!/bin/sh
# The stand-ins are plain JavaScript modules in review/support/: nothing has to be compiled. Their syntax is checked.
cd "$(dirname "$0")/.." || exit 2
for file in review/support/*.js review/*/run.js; do
	node --check "$file" || exit 1
done
