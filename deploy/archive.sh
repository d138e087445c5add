#!/bin/sh
# Has the classes that the platform's way in loads archived (class data sharing), by playing its drill once: a start then
# costs a third. Without the archive all works as well, only slower to start.
rm -f target/platform.jsa
java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:ArchiveClassesAtExit=target/platform.jsa -Xlog:cds=off -Xlog:cds+dynamic=off \
  -Dvertx.disableDnsResolver=true -cp target/fawndock.jar fawndock.Main drill platform >/dev/null 2>&1 \
  && [ -f target/platform.jsa ] || echo "no class archive was made; starts take longer" >&2
