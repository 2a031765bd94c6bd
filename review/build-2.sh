#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. They are plain JavaScript, so this only checks that they can be read.
cd "$(dirname "$0")/.." || exit 2
for file in review/support-2/*.js; do
	node --check "$file" || exit 1
done
