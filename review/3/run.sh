#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
# It needs the programs of deploy/system.toml in target/, and the stand-ins of review/build.sh, which it builds if missing.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review/standin ]; then
	review/build.sh || exit 2
fi
exec target/review/standin lost-deregistration review/3/record.txt
