package fawndock.gateway;

import com.dynatrace.hash4j.consistent.ConsistentBucketHasher;
import com.dynatrace.hash4j.consistent.ConsistentHashing;
import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import com.dynatrace.hash4j.random.PseudoRandomGeneratorProvider;
import fawndock.policy.action.AddToCounter;
import fawndock.policy.event.CounterReply;
import fawndock.runtime.MicroClock;
import fawndock.runtime.Timers;
import fawndock.settings.Address;
import fawndock.settings.GatewaySettings.CounterService;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * The counter service in parts. A name's part is XXH3 of the name, then jump consistent hashing
 * (Lamping and Veach, 2014), both from hash4j: every gatekeeper with the same list of parts picks
 * the same one. Or several nodes that stand in for each other.
 */
final class CounterClient {
  private static final Hasher64 HASH = Hashing.xxh3_64();
  private static final ConsistentBucketHasher BUCKETS =
      ConsistentHashing.jumpHash(PseudoRandomGeneratorProvider.splitMix64_V1());
  private final List<CounterShardClient> shards = new ArrayList<>();
  private final CounterClusterClient cluster;

  CounterClient(
      Vertx vertx,
      Context context,
      CounterService settings,
      MicroClock clock,
      Timers alarms,
      Consumer<CounterReply> told) {
    cluster =
        !settings.clusterNodes().isEmpty()
            ? new CounterClusterClient(vertx, context, settings, clock, alarms, told)
            : null;
    for (Address address : settings.shards()) {
      shards.add(new CounterShardClient(vertx, context, address, settings, clock, alarms, told));
    }
  }

  void add(AddToCounter count) {
    if (cluster != null) {
      cluster.add(count);
      return;
    }
    shards.get(shardOf(count.counterName(), shards.size())).add(count);
  }

  /** Which of so many parts has a name; on one thread at a time for all links of a process. */
  static synchronized int shardOf(String name, int parts) {
    return parts == 1 ? 0 : BUCKETS.getBucket(HASH.hashCharsToLong(name), parts);
  }

  void close() {
    shards.forEach(CounterShardClient::close);
    if (cluster != null) {
      cluster.close();
    }
  }
}
