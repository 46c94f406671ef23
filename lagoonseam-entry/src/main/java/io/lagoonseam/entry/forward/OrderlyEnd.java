package io.lagoonseam.entry.forward;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.vertx.core.http.HttpConnection;

/**
 * Notices that a worker has ended its side of a connection in order. An answer without a length is complete only then:
 * if a request is still being written when the connection is reset, its write fails first, and the HTTP decoder takes
 * the close of the connection for the end of the answer.
 */
final class OrderlyEnd extends ChannelInboundHandlerAdapter {

    private static final String NAME = "orderly-end";

    private boolean ended;

    private OrderlyEnd() {
        super();
    }

    /**
     * Begins to watch a connection; further calls have no effect.
     *
     * @param connection a connection to a worker
     * @return the handler in the pipeline of the connection
     */
    static OrderlyEnd of(HttpConnection connection) {
        ChannelHandlerContext context = WorkerChannel.context(connection);
        ChannelPipeline pipeline = context.pipeline();
        OrderlyEnd existing = (OrderlyEnd) pipeline.get(NAME);
        if (existing != null) {
            return existing;
        }
        OrderlyEnd handler = new OrderlyEnd();
        pipeline.addFirst(NAME, handler);
        context.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
        return handler;
    }

    /** Returns whether the worker has ended its side of the connection. */
    boolean ended() {
        return ended;
    }

    /** Closes the connection too, once the decoder has been told that no more bytes come. */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        boolean ends = event instanceof ChannelInputShutdownEvent;
        ended |= ends;
        context.fireUserEventTriggered(event);
        if (ends) {
            context.close();
        }
    }
}
