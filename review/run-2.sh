#!/bin/sh
# Runs a case of this review: run-2.sh FOLDER CLASS [ARGUMENTS]. Exits with 1 if the rule was broken,
# 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/.." || exit 2
folder=$1
class=$2
shift 2
[ -f "target/review-2/$class.class" ] && [ -f target/foxtailshed.jar ] || {
    echo "could not run: build the deploy file, then review/build-2.sh" >&2
    exit 2
}
work=$(mktemp -d) || exit 2
java -Xmx512m -cp target/review-2:target/foxtailshed.jar "$class" "review/$folder/record.txt" "$work" "$@"
code=$?
rm -rf "$work"
exit "$code"
