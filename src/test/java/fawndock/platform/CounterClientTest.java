package fawndock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fawndock.fake.FakeRespServer;
import fawndock.policy.action.AddToCounter;
import fawndock.policy.event.CounterReply;
import fawndock.runtime.MicroClock;
import fawndock.runtime.Timers;
import fawndock.settings.Address;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the calls to a counter that is slower than the calls come. */
class CounterClientTest {
  private static final int ROUNDS = 4;
  private static final int CALLS_PER_ROUND = 3_000;

  private final Vertx vertx = Vertx.vertx();
  private final Context context = vertx.getOrCreateContext();
  private final List<CounterReply> replies = new CopyOnWriteArrayList<>();

  @AfterEach
  void closeVertx() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  private <T> T onEventLoop(Supplier<T> task) {
    CompletableFuture<T> result = new CompletableFuture<>();
    context.runOnContext(v -> result.complete(task.get()));
    return result.orTimeout(20, TimeUnit.SECONDS).join();
  }

  private CounterClient createClient(int port) {
    return new CounterClient(
        new TcpTransport(context),
        new Address("127.0.0.1", port),
        new MicroClock(),
        new Timers(vertx),
        new ActivitySummary(),
        new CounterClient.Timeouts(250_000, 50_000),
        replies::add);
  }

  private int sendRound(CounterClient client, int round) {
    for (int i = 0; i < CALLS_PER_ROUND; i++) {
      client.add(new AddToCounter("name" + round + "." + i, 1, 4_000_000));
    }
    return client.unansweredCallCount();
  }

  /**
   * Guards against calls that have timed out but wait for their replies in the memory, more and
   * more of them behind a slow counter.
   */
  @Test
  void callsThatTimedOut_countAgainstTheLimit() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    try (FakeRespServer server = new FakeRespServer((command, connection) -> release.await())) {
      CounterClient client = onEventLoop(() -> createClient(server.port()));
      for (int round = 0; round < ROUNDS; round++) {
        int currentRound = round;
        int unansweredCalls = onEventLoop(() -> sendRound(client, currentRound));
        assertTrue(
            unansweredCalls <= CounterClient.MAX_UNANSWERED_CALLS,
            unansweredCalls + " calls wait for a reply");
        Await.until(() -> replies.size() == (currentRound + 1) * CALLS_PER_ROUND);
      }
    } finally {
      release.countDown();
    }
  }

  /** Guards against a slow counter that blocks the calls to the one that has replaced it. */
  @Test
  void callsToANewAddress_areNotCountedWithThoseToTheOldOne() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    try (FakeRespServer oldServer = new FakeRespServer((command, connection) -> release.await());
        FakeRespServer newServer = new FakeRespServer(FakeRespServer.counterHandler())) {
      CounterClient client = onEventLoop(() -> createClient(oldServer.port()));
      onEventLoop(() -> sendRound(client, 0));
      Address newAddress = new Address("127.0.0.1", newServer.port());
      int unansweredCalls =
          onEventLoop(
              () -> {
                client.setAddress(newAddress);
                client.add(new AddToCounter("name", 1, 4_000_000));
                return client.unansweredCallCount();
              });
      assertEquals(1, unansweredCalls);
    } finally {
      release.countDown();
    }
  }
}
