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
final class MemorySockets extends Sockets {
  private final Map<Address, Supplier<ChannelHandler>> listeners = new HashMap<>();

  MemorySockets(Context context) {
    super(context);
  }

  /** One side of a connection. */
  private final class Side extends EmbeddedChannel {
    private Side other;

    Side(ChannelHandler handler) {
      super(handler);
    }

    @Override
    protected void handleOutboundMessage(Object message) {
      loop.execute(
          () -> {
            if (other != null && other.isActive()) {
              other.writeInbound(message);
            } else {
              ReferenceCountUtil.release(message);
            }
          });
    }

    @Override
    protected void doClose() throws Exception {
      super.doClose();
      loop.execute(
          () -> {
            if (other != null) {
              other.close();
            }
          });
    }
  }

  @Override
  ChannelFuture connect(Address address, long limitMicros, ChannelHandler handler) {
    Side near = new Side(handler);
    ChannelPromise made = new DefaultChannelPromise(near, loop);
    loop.execute(
        () -> {
          Supplier<ChannelHandler> listener = listeners.get(address);
          if (listener == null) {
            made.setFailure(new ConnectException("nobody listens at " + address));
            return;
          }
          Side far = new Side(listener.get());
          near.other = far;
          far.other = near;
          made.setSuccess();
        });
    return made;
  }

  @Override
  ChannelFuture listen(Address address, Supplier<ChannelHandler> handlers) {
    listeners.put(address, handlers);
    Side bound = new Side(new io.netty.channel.ChannelInboundHandlerAdapter());
    ChannelPromise done = new DefaultChannelPromise(bound, loop);
    loop.execute(done::setSuccess);
    return done;
  }
}
