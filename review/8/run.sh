#!/bin/sh
# Case 8: slow-readers. Needs the deploy file's build and review/build-2.sh. TROUBLE=0 plays it without the disruption.
# Exit: 1 the rule was broken, 0 it held, 2 the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
exec sh "$here/../rig2/case.sh" slow-readers "$here"
