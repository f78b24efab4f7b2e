#!/bin/sh
# Builds the stand-ins of review/6 to review/10 into target/review-2. Needs the JDK only.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac --release 17 -d target/review-2 review/standins-2/*.java
