package io.lagoonseam.entry.forward;

import io.netty.buffer.Unpooled;
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
 * Refuses requests whose length is ambiguous. The library's decoder drops a length that comes with chunks and reads on,
 * so that what one reader takes for the body another takes for the next request.
 */
final class StrictFraming {

    private static final String DECODER = "strict-decoder";
    private static final String BAD_REQUEST =
            "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

    private StrictFraming() {}

    /** Replaces the decoder of a caller's connection before its first byte. */
    static void enforce(HttpConnection connection, HttpServerOptions options) {
        if (!(connection instanceof ConnectionBase base)) {
            throw new IllegalStateException("a connection without a channel: " + connection.getClass());
        }
        ChannelHandlerContext context = base.channelHandlerContext();
        ChannelPipeline pipeline = context.pipeline();
        pipeline.replace(VertxHttpRequestDecoder.class, DECODER, new Decoder(options));
        pipeline.addAfter(DECODER, null, new BodyRefusal());
    }

    /** Answers a body that cannot be read; the library would close the connection without a word. */
    private static final class BodyRefusal extends ChannelInboundHandlerAdapter {

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof HttpContent content
                    && content.decoderResult().isFailure()) {
                content.release();
                context.writeAndFlush(Unpooled.copiedBuffer(BAD_REQUEST, StandardCharsets.US_ASCII))
                        .addListener(ChannelFutureListener.CLOSE);
                return;
            }
            context.fireChannelRead(message);
        }
    }

    private static final class Decoder extends VertxHttpRequestDecoder {

        Decoder(HttpServerOptions options) {
            super(options);
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException("a length and chunks");
        }
    }
}
