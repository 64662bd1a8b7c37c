#!/usr/bin/env bash
# Builds the cases of the second review and their stand-ins into target/review-2. Needs the JDK only; run it after the
# deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac --release 17 -Xlint:all -d target/review-2 review/second/*.java
