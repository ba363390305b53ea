#!/bin/sh
# Compiles the stand-ins and clients of the cases into target/review; run after deploy/build.sh.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -encoding UTF-8 -d target/review review/standins/*.java
