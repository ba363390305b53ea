#!/bin/sh
# Compiles the stand-ins and cases of the third review; run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -d target/review-3 review/standins-3/*.java
