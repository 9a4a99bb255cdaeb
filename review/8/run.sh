#!/usr/bin/env bash
# Two of the three daemons of a zone are stopped. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. TROUBLE=0: one of them is stopped.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../standin-2/play.sh" stopped-daemons 3 "$here"
