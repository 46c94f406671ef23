package io.lagoonseam.entry.forward;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpMessage;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * Refuses requests whose length is ambiguous. The library's decoder drops a length that comes with chunks and reads on,
 * so that what one reader takes for the body another takes for the next request.
 */
final class StrictFraming {

    private StrictFraming() {}

    /** Replaces the decoder of a caller's connection before its first byte. */
    static void enforce(HttpConnection connection, HttpServerOptions options) {
        if (!(connection instanceof ConnectionBase base)) {
            throw new IllegalStateException("a connection without a channel: " + connection.getClass());
        }
        ChannelHandlerContext context = base.channelHandlerContext();
        ChannelPipeline pipeline = context.pipeline();
        pipeline.replace(VertxHttpRequestDecoder.class, null, new Decoder(options));
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
