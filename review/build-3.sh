#!/bin/sh
# Compiles the stand-ins and cases of the third review into target/review-third, with the JDK alone and in one call.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-third
mkdir -p target/review-third
javac --release 17 -d target/review-third $(find review/third -name '*.java')
