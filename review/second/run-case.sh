#!/usr/bin/env bash
# Runs a case: run-case.sh FOLDER CLASS. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.."
folder=$1 class=$2
if [ ! -f "target/review-2/secondreview/$class.class" ] || [ ! -f target/plantainshunt-platform.jar ]; then
  echo 'run the build of deploy/system.toml and review/build-2.sh first'
  exit 2
fi
timeout -k 5 115 java -cp target/review-2 "secondreview.$class" "$folder/record.txt"
status=$?
[ $status -le 2 ] || status=2
exit $status
