#!/bin/sh
# Starts one gateway on the platform by replacing this shell; no other program is started or forked.
# The whole process, not only the heap, must stay below the machine's memory limit: the JVM's memory outside the heap is
# bounded here, and the heap gets a share of the limit. The program itself reports a configuration that cannot be read.
mb=
if [ -r "${RELAY_CONFIG:-}" ]; then
  set -f
  before=
  while read -r line || [ -n "$line" ]; do
    IFS='{}:," 	'
    for word in $line; do
      if [ "$before" = memory_mb ] && [ -n "$word" ]; then
        mb=$word
        break 2
      fi
      before=${word:-$before}
    done
    unset IFS
  done <"$RELAY_CONFIG"
  unset IFS
fi
case $mb in
  '' | *[!0-9]*) mb=96 ;;
esac
heap=$((mb * 30 / 100))
[ "$heap" -ge 16 ] || heap=16
[ "$heap" -le 512 ] || heap=512
archive=
[ ! -f target/platform.jsa ] || archive="-XX:SharedArchiveFile=target/platform.jsa"
exec java $archive -Xshare:auto -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xms${heap}m -Xmx${heap}m -Xss256k \
  -XX:MaxDirectMemorySize=8m -XX:ReservedCodeCacheSize=16m -XX:MaxMetaspaceSize=40m -XX:-UsePerfData \
  -XX:+ExitOnOutOfMemoryError -Djava.net.preferIPv4Stack=true -Djava.io.tmpdir="${TMPDIR:-/tmp}" \
  -Dio.netty.jfr.enabled=false -Dvertx.disableDnsResolver=true \
  -Dio.netty.allocator.numDirectArenas=1 -Dio.netty.allocator.numHeapArenas=0 -Dio.netty.allocator.maxOrder=1 \
  -Dio.netty.allocator.pageSize=8192 -Dio.netty.noPreferDirect=true -Dio.netty.recycler.maxCapacityPerThread=0 \
  -Dio.netty.machineId=00:00:00:00:00:00:00:01 -Dio.netty.processId=1 \
  -cp target/fawndock.jar fawndock.Main platform
