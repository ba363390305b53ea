#!/bin/sh
# Builds target/foxtailshed.jar and a class data archive, which shortens startup.
set -eu
cd "$(dirname "$0")/.."
mvn -B -ntp -q -Dmaven.test.skip=true -Dspotless.check.skip -Dcheckstyle.skip -pl platform -am package

# One start and stop on loopback creates the archive; without it the process only starts slower.
rm -f target/foxtailshed.jsa target/rehearsal.log
java -XX:ArchiveClassesAtExit=target/foxtailshed.jsa -Xmx96m -XX:+UseSerialGC \
    -XX:TieredStopAtLevel=1 -jar target/foxtailshed.jar direct-entry \
    --settings-file deploy/rehearsal.json --log-format json >target/rehearsal.log 2>&1 &
rehearsal=$!
tries=0
until grep -q '^ready ' target/rehearsal.log || [ "$tries" -ge 100 ]; do
    tries=$((tries + 1))
    sleep 0.1
done
kill "$rehearsal"
wait "$rehearsal" || echo "deploy/build.sh: the run that creates the class archive exited with status $?" >&2
[ -s target/foxtailshed.jsa ] || echo "deploy/build.sh: no class archive was created" >&2
