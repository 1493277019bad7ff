#!/bin/sh
# Case 13: see claim.txt. 1: the rule was broken, 0: it held, 2: it could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-3/review3 advice review/13/record.txt
