package io.lagoonseam.entry.forward;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * Takes the framing from the next response on a caller's connection, so that only the close of the connection delimits
 * it. Vert.x frames every response to a caller of HTTP/1.1.
 *
 * <p>Until all bytes of the response have been written, any close of the connection is a reset, also the one by the
 * operating system at the end of the process: an orderly close would be the end of a complete response.
 */
final class CloseDelimitedResponse extends ChannelOutboundHandlerAdapter {

    private static final int RESET_ON_CLOSE = 0;
    private static final int ORDERLY_CLOSE = -1;

    private CloseDelimitedResponse() {
        super();
    }

    /**
     * Takes the framing from the next response, which has to be chunked as far as Vert.x knows.
     *
     * @param connection the connection of the caller, which has to be closed after the response
     */
    static void beginOn(HttpConnection connection) {
        ChannelHandlerContext context = base(connection).channelHandlerContext();
        setLinger(context.channel(), RESET_ON_CLOSE);
        context.pipeline().addBefore(context.name(), null, new CloseDelimitedResponse());
    }

    private static void setLinger(Channel channel, int seconds) {
        if (channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, seconds);
        }
    }

    /**
     * Has the next close of a connection be an orderly one, since all bytes of the response have been written.
     *
     * @param connection the connection of the caller
     */
    static void endOn(HttpConnection connection) {
        setLinger(base(connection).channelHandlerContext().channel(), ORDERLY_CLOSE);
    }

    /**
     * Resets a connection.
     *
     * @param connection the connection of the caller
     */
    static void breakOff(HttpConnection connection) {
        Channel channel = base(connection).channelHandlerContext().channel();
        setLinger(channel, RESET_ON_CLOSE);
        channel.close();
    }

    private static ConnectionBase base(HttpConnection connection) {
        if (connection instanceof ConnectionBase base) {
            return base;
        }
        throw new IllegalStateException("no access to the channel of a connection of type " + connection.getClass());
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
        if (message instanceof HttpResponse response && response.status().code() >= HttpResponseStatus.OK.code()) {
            response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
        }
        if (message instanceof LastHttpContent) {
            ChannelPromise written = promise.unvoid();
            written.addListener(future -> {
                if (future.isSuccess()) {
                    setLinger(context.channel(), ORDERLY_CLOSE);
                }
            });
            super.write(context, message, written);
            context.pipeline().remove(this);
            return;
        }
        super.write(context, message, promise);
    }
}
