#!/bin/sh
# Builds target/foxtailshed.jar and an archive of its loaded classes, which shortens a restart.
set -eu
cd "$(dirname "$0")/.."
mvn -B -ntp -q -DskipTests -Dspotless.check.skip -Dcheckstyle.skip -pl platform -am package

# The archive is made by one start and stop on loopback; without it the role only starts slower.
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
wait "$rehearsal" || echo "deploy/build.sh: the rehearsal ended with status $?" >&2
[ -s target/foxtailshed.jsa ] || echo "deploy/build.sh: no class archive was made" >&2
