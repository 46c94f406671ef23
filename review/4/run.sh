#!/bin/sh
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/lagoonseam.jar ] || [ ! -f target/lagoonseam.jsa ] || [ ! -f target/review/SilentChannels.class ]; then
    echo "not built: the build line of deploy/system.toml and review/build.sh come first"
    exit 2
fi
exec java -Xmx256m -cp target/review SilentChannels . review/4/record.txt
