package fawndock.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import fawndock.policy.action.AddToCounter;
import fawndock.policy.event.CallResult;
import fawndock.settings.Address;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests calls to the counter whose command cannot be written. */
class CounterConnectionTest {
  private static final Address ADDRESS = new Address("127.0.0.1", 1);

  private final Vertx vertx = Vertx.vertx();

  /** Connects to a channel that is open but fails all writes, as without memory for them. */
  private static final class FailingTransport extends TcpTransport {
    private EmbeddedChannel channel;

    FailingTransport(Vertx vertx) {
      super(vertx.getOrCreateContext());
    }

    @Override
    ChannelFuture connect(Address address, long timeoutMicros, ChannelHandler handler) {
      channel =
          new EmbeddedChannel(
              new ChannelOutboundHandlerAdapter() {
                @Override
                public void write(
                    ChannelHandlerContext context, Object message, ChannelPromise promise) {
                  promise.setFailure(new OutOfMemoryError("no direct memory"));
                }
              },
              handler);
      return channel.newSucceededFuture();
    }
  }

  private static final class RecordingListener implements CounterConnection.Listener {
    private final List<CallResult> results = new ArrayList<>();

    @Override
    public void onConnected() {}

    @Override
    public void onCompleted(CounterCall call, CallResult result, double total) {
      results.add(result);
    }

    @Override
    public void onClosed(CounterConnection connection, boolean wasConnected) {}

    @Override
    public long nowMicros() {
      return 0;
    }
  }

  @AfterEach
  void closeVertx() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get();
  }

  /**
   * Guards against a call that stays in the queue of expected replies though it was never written:
   * it would take the total of the call after it.
   */
  @Test
  void callThatCannotBeWritten_endsWithItsConnection() {
    FailingTransport transport = new FailingTransport(vertx);
    RecordingListener listener = new RecordingListener();
    CounterConnection connection = new CounterConnection(transport, ADDRESS, 1_000_000, listener);
    connection.send(new CounterCall(new AddToCounter("name", 1, 1_000_000), 0));
    transport.channel.runPendingTasks();
    assertFalse(transport.channel.isOpen());
    assertEquals(List.of(CallResult.CONNECT_FAILED), listener.results);
  }
}
