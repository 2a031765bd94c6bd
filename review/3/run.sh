#!/bin/sh
# An entry is stopped while a request waits there for a free server.
cd "$(dirname "$0")/../.." || exit 2
exec node review/3/run.js
