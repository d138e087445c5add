package fawndock.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.lang.ref.WeakReference;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests that timers fire in order and that cancelled ones are forgotten. */
class TimersTest {
  private static final long HOUR_MICROS = 3_600_000_000L;
  private static final int MAX_COLLECTIONS = 50;

  private final Vertx vertx = Vertx.vertx();
  private final Context context = vertx.getOrCreateContext();
  private final Timers timers = onEventLoop(v -> new Timers(vertx));

  private <T> T onEventLoop(Function<Void, T> task) {
    CompletableFuture<T> result = new CompletableFuture<>();
    context.runOnContext(
        v -> {
          try {
            result.complete(task.apply(null));
          } catch (RuntimeException e) {
            result.completeExceptionally(e);
          }
        });
    return result.orTimeout(20, TimeUnit.SECONDS).join();
  }

  private int pendingCount() {
    return onEventLoop(v -> timers.pendingCount());
  }

  @AfterEach
  void closeVertx() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  /** Guards against cancelled timers that stay in the memory until they would have fired. */
  @Test
  void cancelledTimer_isForgotten() throws Exception {
    WeakReference<Timers.Timer> cancelled =
        onEventLoop(
            v -> {
              timers.schedule(HOUR_MICROS, () -> {});
              Timers.Timer timer = timers.schedule(HOUR_MICROS, () -> {});
              timers.schedule(HOUR_MICROS, () -> {});
              timers.cancel(timer);
              return new WeakReference<>(timer);
            });
    for (int i = 0; i < MAX_COLLECTIONS && cancelled.get() != null; i++) {
      System.gc();
      Thread.sleep(10);
    }
    assertNull(cancelled.get());
    assertEquals(2, pendingCount());
  }

  @Test
  void timersOfOneMillisecond_fireInOrder_alsoIfOneCancelsAnother() {
    List<Integer> fired = new ArrayList<>();
    CompletableFuture<Void> last = new CompletableFuture<>();
    onEventLoop(
        v -> {
          Timers.Timer[] handles = new Timers.Timer[5];
          for (int i = 0; i < handles.length; i++) {
            int index = i;
            handles[i] =
                timers.schedule(
                    5_000,
                    () -> {
                      fired.add(index);
                      timers.cancel(index == 1 ? handles[2] : null);
                    });
          }
          timers.schedule(HOUR_MICROS, () -> fired.add(-1));
          timers.cancel(handles[3]);
          timers.cancel(handles[3]);
          timers.schedule(30_000, () -> last.complete(null));
          return null;
        });
    last.orTimeout(20, TimeUnit.SECONDS).join();
    assertEquals(List.of(0, 1, 4), fired);
    assertEquals(1, pendingCount());
  }

  @Test
  void timerOfALaterRevolution_staysPending() {
    CompletableFuture<Void> sameSlotEarlier = new CompletableFuture<>();
    onEventLoop(
        v -> {
          timers.schedule(20_000 + 4_096_000, () -> {});
          timers.schedule(20_000, () -> sameSlotEarlier.complete(null));
          return null;
        });
    sameSlotEarlier.orTimeout(20, TimeUnit.SECONDS).join();
    assertEquals(1, pendingCount());
  }

  @Test
  void close_discardsAllTimers() {
    Timers.Timer timer = onEventLoop(v -> timers.schedule(HOUR_MICROS, () -> {}));
    onEventLoop(
        v -> {
          timers.close();
          timers.cancel(timer);
          return null;
        });
    assertEquals(0, pendingCount());
  }
}
