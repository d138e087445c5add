package fawndock.platform;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * The bytes of one connection. What has come and not been used up is kept and given again with what comes next. One
 * event loop.
 */
abstract class Wire extends ChannelInboundHandlerAdapter {
    private ChannelHandlerContext context;
    private ByteBuf kept = Unpooled.EMPTY_BUFFER;
    private boolean over;

    @Override
    public void handlerAdded(ChannelHandlerContext handler) {
        context = handler;
    }

    @Override
    public void channelInactive(ChannelHandlerContext handler) {
        over();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext handler, Throwable cause) {
        handler.close(); // A reset, most often.
    }

    @Override
    public void channelRead(ChannelHandlerContext handler, Object message) {
        ByteBuf part = (ByteBuf) message;
        try {
            if (over) {
                return;
            }
            ByteBuf all = part;
            if (kept.isReadable()) {
                all = Unpooled.buffer(kept.readableBytes() + part.readableBytes()).writeBytes(kept).writeBytes(part);
            }
            bytes(all);
            kept = over || !all.isReadable() ? Unpooled.EMPTY_BUFFER : all == part
                    ? Unpooled.buffer(all.readableBytes()).writeBytes(all) : all;
        } finally {
            part.release();
        }
    }

    /** Takes what it can use off the bytes. */
    abstract void bytes(ByteBuf in);

    /** The other side ended it, or it broke; not told after {@link #close}. */
    abstract void ended();

    final ChannelFuture send(ByteBuf bytes) {
        return context.writeAndFlush(bytes);
    }

    final boolean writable() {
        return context.channel().isWritable();
    }

    final void reading(boolean on) {
        context.channel().config().setAutoRead(on);
    }

    private void over() {
        if (!over) {
            over = true;
            kept = Unpooled.EMPTY_BUFFER;
            ended();
        }
    }

    /**
     * Ends it in this turn, after what was written: nothing more is read. What lies unread then makes the close a reset,
     * by which the other side knows that it was not read.
     */
    final void close() {
        if (!over) {
            over = true;
            kept = Unpooled.EMPTY_BUFFER;
            context.close();
        }
    }

    final boolean isOver() {
        return over;
    }
}
