package fawndock.platform;

import fawndock.settings.Address;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.DefaultChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.vertx.core.Context;
import java.net.ConnectException;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;

/**
 * A transport for {@link WarmUp} that connects within this process, in memory, without file
 * descriptors, ports or files. Bytes reach the other side in a later turn of the event loop, as on
 * a network. Confined to one event loop.
 */
final class InMemoryTransport extends TcpTransport {
  private final Map<Address, Supplier<ChannelHandler>> handlerFactories = new HashMap<>();

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
      ByteBuf bytes = ((OutboundBytes) message).content();
      eventLoop.execute(
          () -> {
            if (peer != null && peer.isActive()) {
              peer.writeInbound(bytes);
            } else {
              bytes.release();
            }
          });
    }

    @Override
    protected void doClose() throws Exception {
      super.doClose();
      eventLoop.execute(
          () -> {
            if (peer != null) {
              // An in-memory close cannot fail.
              var unused = peer.close();
            }
          });
    }
  }

  @Override
  ChannelFuture connect(Address address, long timeoutMicros, ChannelHandler handler) {
    InMemoryChannel client = new InMemoryChannel(handler);
    ChannelPromise connected = new DefaultChannelPromise(client, eventLoop);
    eventLoop.execute(
        () -> {
          Supplier<ChannelHandler> handlerFactory = handlerFactories.get(address);
          if (handlerFactory == null) {
            connected.setFailure(new ConnectException("nothing listens at " + address));
            return;
          }
          InMemoryChannel server = new InMemoryChannel(handlerFactory.get());
          client.peer = server;
          server.peer = client;
          connected.setSuccess();
        });
    return connected;
  }

  @Override
  ChannelFuture listen(Address address, Supplier<ChannelHandler> handlerFactory) {
    handlerFactories.put(address, handlerFactory);
    InMemoryChannel serverChannel = new InMemoryChannel(new ChannelInboundHandlerAdapter());
    ChannelPromise listening = new DefaultChannelPromise(serverChannel, eventLoop);
    eventLoop.execute(listening::setSuccess);
    return listening;
  }
}
