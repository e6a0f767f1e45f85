#!/bin/sh
# Compiles the stand-ins and scripts of the second review into target/review-2.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
find review/standins-2 -name '*.java' > target/review-2/sources
javac --release 17 -d target/review-2 @target/review-2/sources
