#!/usr/bin/env bash
# Compiles the stand-ins and the drivers of all cases. Needs the build of the deploy file: the jar
# under target/ holds the JSON library that the store stand-in uses.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
find review -name '*.java' -print0 | xargs -0 javac -nowarn -cp target/clementinequay.jar -d target/review
