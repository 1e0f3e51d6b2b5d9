#!/bin/sh
# Plays the case once: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
ROOT=$(cd "$here/../.." && pwd) || exit 2
RUN=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$ROOT/deploy/balancer.toml")
export ROOT RUN
[ -n "$RUN" ] && [ -x "$ROOT/review/bin/standins" ] || exit 2
exec "$ROOT/review/bin/standins" leave "$here/record.txt"
