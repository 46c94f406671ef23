package io.lagoonseam.entry.forward;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import io.vertx.core.net.impl.ConnectionBase;
import java.nio.charset.StandardCharsets;

/**
 * Rejects requests whose body length is ambiguous. The decoder of Vert.x ignores a Content-Length that comes together
 * with chunked encoding, and accepts the request. A proxy or worker that uses the Content-Length instead may then take
 * a part of the body for the next request (request smuggling).
 */
final class StrictFraming {

    private static final String DECODER = "strict-decoder";
    private static final String BAD_REQUEST_RESPONSE =
            "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

    private StrictFraming() {}

    /**
     * Replaces the decoder of a caller's connection; must be called before the first byte is read.
     *
     * @return the channel of the connection
     */
    static Channel enforce(HttpConnection connection, HttpServerOptions options) {
        if (!(connection instanceof ConnectionBase base)) {
            throw new IllegalStateException(
                    "cannot replace the HTTP decoder of a connection of type " + connection.getClass());
        }
        ChannelHandlerContext context = base.channelHandlerContext();
        ChannelPipeline pipeline = context.pipeline();
        pipeline.replace(VertxHttpRequestDecoder.class, DECODER, new StrictDecoder(options));
        pipeline.addAfter(DECODER, null, new MalformedBodyHandler());
        return context.channel();
    }

    /**
     * Responds with status 400 to a body that cannot be decoded; Vert.x would close the connection without a response.
     */
    private static final class MalformedBodyHandler extends ChannelInboundHandlerAdapter {

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof HttpContent content
                    && content.decoderResult().isFailure()) {
                content.release();
                context.writeAndFlush(Unpooled.copiedBuffer(BAD_REQUEST_RESPONSE, StandardCharsets.US_ASCII))
                        .addListener(ChannelFutureListener.CLOSE);
                return;
            }
            context.fireChannelRead(message);
        }
    }

    private static final class StrictDecoder extends VertxHttpRequestDecoder {

        StrictDecoder(HttpServerOptions options) {
            super(options);
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException("request has both Content-Length and Transfer-Encoding: chunked");
        }
    }
}
