package io.lagoonseam.entry.forward;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.http.HttpClientCodec;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.impl.HttpClientConnectionInternal;
import io.vertx.core.http.impl.UnpooledHttpClientConnection;
import java.lang.invoke.MethodHandle;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.MethodType;
import java.lang.invoke.VarHandle;

/**
 * Gives access to the channel of a connection to a worker, which Vert.x and Netty hide. All methods must be called on
 * the event loop of the channel.
 */
final class WorkerChannel {

    private static final VarHandle WRAPPED_CONNECTION;
    private static final MethodHandle INBOUND_HANDLER;
    private static final MethodHandle UNDECODED_BYTES;

    static {
        MethodHandles.Lookup lookup = MethodHandles.lookup();
        try {
            WRAPPED_CONNECTION = MethodHandles.privateLookupIn(UnpooledHttpClientConnection.class, lookup)
                    .findVarHandle(UnpooledHttpClientConnection.class, "actual", HttpClientConnectionInternal.class);
            INBOUND_HANDLER = MethodHandles.privateLookupIn(CombinedChannelDuplexHandler.class, lookup)
                    .findVirtual(
                            CombinedChannelDuplexHandler.class,
                            "inboundHandler",
                            MethodType.methodType(ChannelInboundHandler.class));
            UNDECODED_BYTES = MethodHandles.privateLookupIn(ByteToMessageDecoder.class, lookup)
                    .findVirtual(ByteToMessageDecoder.class, "actualReadableBytes", MethodType.methodType(int.class));
        } catch (ReflectiveOperationException e) {
            throw new ExceptionInInitializerError(e);
        }
    }

    private WorkerChannel() {}

    /** Returns the context of the handler that passes responses on to Vert.x. */
    static ChannelHandlerContext context(HttpConnection connection) {
        if (connection instanceof HttpClientConnectionInternal base) {
            return base.channelHandlerContext();
        }
        HttpClientConnectionInternal wrapped =
                (HttpClientConnectionInternal) WRAPPED_CONNECTION.get((UnpooledHttpClientConnection) connection);
        return wrapped.channelHandlerContext();
    }

    /**
     * Returns whether bytes have been received that are no whole part of a message yet. Between two requests they
     * belong to no response, and would become the beginning of the next one.
     */
    static boolean hasUndecodedBytes(ChannelPipeline pipeline) {
        HttpClientCodec codec = pipeline.get(HttpClientCodec.class);
        return codec != null && undecodedBytes(codec) > 0;
    }

    private static int undecodedBytes(HttpClientCodec codec) {
        try {
            ChannelInboundHandler decoder =
                    (ChannelInboundHandler) INBOUND_HANDLER.invoke((CombinedChannelDuplexHandler<?, ?>) codec);
            return (int) UNDECODED_BYTES.invoke((ByteToMessageDecoder) decoder);
        } catch (RuntimeException | Error e) {
            throw e;
        } catch (Throwable e) {
            throw new IllegalStateException("cannot read the state of the HTTP decoder", e);
        }
    }
}
