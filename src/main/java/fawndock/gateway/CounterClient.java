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
 * Client of the counter service: shards, or one replicated cluster. A name's shard is XXH3 of the
 * name, then jump consistent hashing (Lamping and Veach, 2014), both from hash4j: every gateway
 * with the same list of shards picks the same one. One context.
 */
final class CounterClient implements AutoCloseable {
  private static final Hasher64 HASH = Hashing.xxh3_64();
  private static final ConsistentBucketHasher BUCKETS =
      ConsistentHashing.jumpHash(PseudoRandomGeneratorProvider.splitMix64_V1());
  private final List<CounterShardClient> shards = new ArrayList<>();

  /** Null where the counter is sharded. */
  private final CounterClusterClient cluster;

  /** Connects; replies are given to the listener on the context. */
  CounterClient(
      Vertx vertx,
      Context context,
      CounterService settings,
      MicroClock clock,
      Timers timers,
      Consumer<CounterReply> replyListener) {
    cluster =
        settings.clusterNodes().isEmpty()
            ? null
            : new CounterClusterClient(vertx, context, settings, clock, timers, replyListener);
    for (Address address : settings.shards()) {
      shards.add(
          new CounterShardClient(vertx, context, address, settings, clock, timers, replyListener));
    }
  }

  /** Adds to a count; exactly one reply is given, in a later turn, in order for each name. */
  void add(AddToCounter command) {
    if (cluster != null) {
      cluster.add(command);
    } else {
      shards.get(shardOf(command.counterName(), shards.size())).add(command);
    }
  }

  /** The shard of a name. Synchronized since the hasher keeps state that all clients share. */
  static synchronized int shardOf(String counterName, int shardCount) {
    return shardCount == 1 ? 0 : BUCKETS.getBucket(HASH.hashCharsToLong(counterName), shardCount);
  }

  /** Closes all connections; closing it again has no effect. */
  @Override
  public void close() {
    shards.forEach(CounterShardClient::close);
    if (cluster != null) {
      cluster.close();
    }
  }
}
