#!/bin/sh
# Plays the case; TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 otherwise.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/review-2 ] || exit 2
exec java -Xmx256m -cp target/review-2 Case10
