package fawndock.platform;

import fawndock.settings.Address;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPromise;
import io.netty.channel.DefaultChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.Context;
import java.net.ConnectException;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Connections between two parties of this process, in memory: no descriptor, no port, no file. What
 * one side writes comes to the other in a later turn of the loop, as from a network. For {@link
 * WarmUp}.
 */
final class InMemoryTransport extends TcpTransport {
  private final Map<Address, Supplier<ChannelHandler>> listeners = new HashMap<>();

  InMemoryTransport(Context context) {
    super(context);
  }

  /** One side of a connection. */
  private final class InMemoryChannel extends EmbeddedChannel {
    private InMemoryChannel peer;

    InMemoryChannel(ChannelHandler handler) {
      super(handler);
    }

    @Override
    protected void handleOutboundMessage(Object message) {
      eventLoop.execute(
          () -> {
            if (peer != null && peer.isActive()) {
              peer.writeInbound(message);
            } else {
              ReferenceCountUtil.release(message);
            }
          });
    }

    @Override
    protected void doClose() throws Exception {
      super.doClose();
      eventLoop.execute(
          () -> {
            if (peer != null) {
              peer.close();
            }
          });
    }
  }

  @Override
  ChannelFuture connect(Address address, long limitMicros, ChannelHandler handler) {
    InMemoryChannel near = new InMemoryChannel(handler);
    ChannelPromise made = new DefaultChannelPromise(near, eventLoop);
    eventLoop.execute(
        () -> {
          Supplier<ChannelHandler> listener = listeners.get(address);
          if (listener == null) {
            made.setFailure(new ConnectException("nobody listens at " + address));
            return;
          }
          InMemoryChannel far = new InMemoryChannel(listener.get());
          near.peer = far;
          far.peer = near;
          made.setSuccess();
        });
    return made;
  }

  @Override
  ChannelFuture listen(Address address, Supplier<ChannelHandler> handlers) {
    listeners.put(address, handlers);
    InMemoryChannel bound =
        new InMemoryChannel(new io.netty.channel.ChannelInboundHandlerAdapter());
    ChannelPromise done = new DefaultChannelPromise(bound, eventLoop);
    eventLoop.execute(done::setSuccess);
    return done;
  }
}
