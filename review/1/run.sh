#!/bin/sh
# Replaces a control node by an empty one after 200 changes of a large configuration.
cd "$(dirname "$0")/../.." || exit 2
exec node review/1/run.js
