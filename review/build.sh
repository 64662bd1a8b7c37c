#!/usr/bin/env bash
# Builds the stand-ins and the cases into target/review. Needs the JDK only; run it after the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
find review -name '*.java' -print0 | xargs -0 javac --release 17 -Xlint:all -d target/review
