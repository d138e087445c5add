#!/bin/sh
# Builds the stand-ins and drivers of cases 6 to 10 with the JDK alone. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")"
rm -rf common-2/out
mkdir common-2/out
javac -encoding UTF-8 -d common-2/out common-2/*.java
for sources in 6/src 7/src 8/src 9/src 10/src; do
  [ -d "$sources" ] || continue
  rm -rf "${sources%src}out"
  mkdir "${sources%src}out"
  javac -encoding UTF-8 -cp common-2/out -d "${sources%src}out" "$sources"/*.java
done
