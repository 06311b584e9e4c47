#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case can't run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/standin-2 quota-owner review/9/record.txt
