#!/bin/sh
# Builds the stand-ins and clients of cases 6 to 10; the deploy file's build comes first.
set -eu
cd "$(dirname "$0")/.."
[ -f target/foxtailshed.jar ] || { echo "review/build-2.sh: build the deploy file first" >&2; exit 1; }
rm -rf target/review-2
mkdir -p target/review-2/streams
javac -nowarn -encoding UTF-8 -cp target/foxtailshed.jar -d target/review-2 review/standins-2/*.java
# The stand-ins for streams are those of the earlier review.
javac -nowarn -encoding UTF-8 -d target/review-2/streams \
    review/standins/*.java review/standins-2/streams/*.java
