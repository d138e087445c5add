#!/bin/sh
# Creates the class data sharing archive for the platform: runs one gateway with fake peers and backends and archives the
# classes that it loads. This cuts the start time to a third. The archive is optional; without it the start is slower.
rm -f target/platform.jsa
java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:ArchiveClassesAtExit=target/platform.jsa -Xlog:cds=off -Xlog:cds+dynamic=off \
  -Dslf4j.provider=fawndock.cli.PlainLog -Dio.netty.jfr.enabled=false -Dvertx.disableDnsResolver=true -cp target/fawndock.jar fawndock.Main drill platform \
  >/dev/null 2>&1 && [ -f target/platform.jsa ] || echo "no class archive was created; starts take longer" >&2
