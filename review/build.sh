#!/bin/sh
# Compiles the stand-ins and the cases of the scripts. Needs the build of the deploy file, javac and no network.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -nowarn -encoding UTF-8 -proc:none -d target/review -cp target/almondslip-gateway.jar \
  platform/src/test/java/org/almondslip/adapter/FakeStore.java \
  review/standins/*.java review/tried/*.java review/[1-9]/*.java
