#!/bin/sh
# Builds the stand-ins and drivers of all cases into review/out with the JDK alone. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")"
rm -rf out
mkdir out
javac -encoding UTF-8 -d out common/*.java [0-9]/*.java
