#!/usr/bin/env bash
# A primary leaves while promotions are carried out late. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0: promotions are carried out at once.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../standin-2/play.sh" leaving-primary 1 "$here"
