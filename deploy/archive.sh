#!/bin/sh
# Makes the class archive (class data sharing) for the platform: runs one gateway among fakes once and archives the classes
# that it loads. A start then costs a third. Without the archive everything works as well, only the start is slower.
rm -f target/platform.jsa
java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:ArchiveClassesAtExit=target/platform.jsa -Xlog:cds=off -Xlog:cds+dynamic=off \
  -Dslf4j.provider=fawndock.cli.PlainLog -Dio.netty.jfr.enabled=false -Dvertx.disableDnsResolver=true -cp target/fawndock.jar fawndock.Main drill platform \
  >/dev/null 2>&1 && [ -f target/platform.jsa ] || echo "no class archive was made; starts take longer" >&2
