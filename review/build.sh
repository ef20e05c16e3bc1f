#!/usr/bin/env bash
# Compiles the stand-ins of the review scripts to target/review. Needs the JDK that the project builds with, and nothing else.
set -e
. "$(dirname "${BASH_SOURCE[0]}")/../bin/env.sh"
cd "$ROOT"
rm -rf target/review
mkdir -p target/review
"$JAVA_HOME/bin/javac" -encoding UTF-8 -d target/review review/harness/*.java review/[0-9]/*.java
