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
 * Client of the counter service, which is either sharded or one replicated cluster. The shard of a
 * name is chosen by jump consistent hashing (Lamping and Veach, 2014) of its XXH3 hash, both from
 * hash4j, so that every gateway with the same list of shards chooses the same shard. The client is
 * confined to one event-loop context.
 */
final class CounterClient implements AutoCloseable {
  private static final Hasher64 HASH = Hashing.xxh3_64();
  private static final ConsistentBucketHasher BUCKETS =
      ConsistentHashing.jumpHash(PseudoRandomGeneratorProvider.splitMix64_V1());
  private final List<CounterShardClient> shards = new ArrayList<>();

  /** Null if the counter service is sharded. */
  private final CounterClusterClient cluster;

  /** Starts connecting. The listener receives the replies on the context. */
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

  /**
   * Adds an amount to a counter. The listener receives exactly one reply, in a later turn; the
   * replies of one counter name arrive in the order of the calls.
   */
  void add(AddToCounter command) {
    if (cluster != null) {
      cluster.add(command);
    } else {
      shards.get(shardOf(command.counterName(), shards.size())).add(command);
    }
  }

  /**
   * Returns the index of a name's shard. Synchronized because the hasher has mutable state that all
   * clients share.
   */
  static synchronized int shardOf(String counterName, int shardCount) {
    return shardCount == 1 ? 0 : BUCKETS.getBucket(HASH.hashCharsToLong(counterName), shardCount);
  }

  /** Closes all connections. Closing it again has no effect. */
  @Override
  public void close() {
    shards.forEach(CounterShardClient::close);
    if (cluster != null) {
      cluster.close();
    }
  }
}
