#!/bin/sh
# Has the classes that the platform's way in loads archived (class data sharing): its drill has it serve among stand-ins
# of this machine, once. A start then costs a third. Without the archive all works as well, only slower to start.
rm -f target/platform.jsa
java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:ArchiveClassesAtExit=target/platform.jsa -Xlog:cds=off -Xlog:cds+dynamic=off \
  -Dslf4j.provider=fawndock.cli.PlainLog -Dio.netty.jfr.enabled=false -Dvertx.disableDnsResolver=true -cp target/fawndock.jar fawndock.Main drill platform \
  >/dev/null 2>&1 && [ -f target/platform.jsa ] || echo "no class archive was made; starts take longer" >&2
