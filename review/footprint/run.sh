#!/usr/bin/env bash
# Prints what a host costs at ease and under load; options of the driver follow as -Dhosts=3.
cd "$(dirname "$0")/../.." || exit 2
[ -e target/clementinequay.jar ] && [ -e target/review/Footprint.class ] || exit 2
exec java -Xmx256m "$@" -cp target/review:target/clementinequay.jar Footprint
