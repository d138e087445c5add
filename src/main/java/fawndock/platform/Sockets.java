package fawndock.platform;

import fawndock.settings.Address;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.vertx.core.Context;
import io.vertx.core.internal.ContextInternal;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.UnixDomainSocketAddress;
import java.util.function.Supplier;

/**
 * Opens and accepts connections on Vert.x's event loop by Netty beneath it. Vert.x is in the way here: it accepts on a
 * thread of its own, without limit while the loop is held up, and a connection of its own costs ten times as much. What
 * is accepted here is accepted on the one loop, a few at a time.
 */
final class Sockets {
    private static final int BACKLOG = 1_024;
    private final EventLoop loop;

    /** On the loop of this context. */
    Sockets(Context context) {
        loop = ((ContextInternal) context).nettyEventLoop();
    }

    /** An address of the platform; one with the port 0 names a file, for sockets within this machine. */
    private static SocketAddress at(Address address) {
        return address.port() == 0 ? UnixDomainSocketAddress.of(address.host())
                : new InetSocketAddress(address.host(), address.port());
    }

    /** Connects; the handler takes the bytes. */
    ChannelFuture connect(Address address, long limitMicros, ChannelHandler handler) {
        Bootstrap bootstrap = new Bootstrap().group(loop).handler(handler)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, limitMicros / 1_000));
        if (address.port() == 0) {
            bootstrap.channel(NioDomainSocketChannel.class);
        } else {
            bootstrap.channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true);
        }
        return bootstrap.connect(at(address));
    }

    /** Listens; a new handler takes the bytes of each connection that is accepted. */
    ChannelFuture listen(Address address, Supplier<ChannelHandler> handlers) {
        ServerBootstrap bootstrap = new ServerBootstrap().group(loop).option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(handlers.get());
                    }
                });
        if (address.port() == 0) {
            bootstrap.channel(NioServerDomainSocketChannel.class);
        } else {
            bootstrap.channel(NioServerSocketChannel.class).option(ChannelOption.SO_REUSEADDR, true)
                    .childOption(ChannelOption.TCP_NODELAY, true);
        }
        return bootstrap.bind(at(address));
    }
}
