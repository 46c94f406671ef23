package io.lagoonseam.entry.forward;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.impl.HttpClientConnectionInternal;
import io.vertx.core.http.impl.UnpooledHttpClientConnection;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;

/**
 * Drops answers that belong to another request than the one that waits on a worker's connection: a worker may answer a
 * request twice, and the second answer then stands where the next one is due.
 */
final class AnswerFilter extends ChannelInboundHandlerAdapter {

    private static final String NAME = "answer-filter";
    private static final VarHandle WRAPPED = wrappedConnection();

    private final String idHeader;
    private String expectedId = "";
    private boolean dropping;
    private boolean spoiled;

    private AnswerFilter(String idHeader) {
        super();
        this.idHeader = idHeader;
    }

    /**
     * Returns the filter of a connection, which is put behind the decoder at the first call.
     *
     * @param connection a connection with a worker
     * @param idHeader the header in which workers echo a request's id
     */
    static AnswerFilter of(HttpConnection connection, String idHeader) {
        HttpClientConnectionInternal base = unwrap(connection);
        ChannelPipeline pipeline = base.channelHandlerContext().pipeline();
        AnswerFilter known = (AnswerFilter) pipeline.get(NAME);
        if (known != null) {
            return known;
        }
        AnswerFilter filter = new AnswerFilter(idHeader);
        pipeline.addBefore(base.channelHandlerContext().name(), NAME, filter);
        return filter;
    }

    private static HttpClientConnectionInternal unwrap(HttpConnection connection) {
        if (connection instanceof HttpClientConnectionInternal base) {
            return base;
        }
        return (HttpClientConnectionInternal) WRAPPED.get((UnpooledHttpClientConnection) connection);
    }

    /** The library's wrapper of a connection without a pool has no way to its channel but this field. */
    private static VarHandle wrappedConnection() {
        try {
            return MethodHandles.privateLookupIn(UnpooledHttpClientConnection.class, MethodHandles.lookup())
                    .findVarHandle(UnpooledHttpClientConnection.class, "actual", HttpClientConnectionInternal.class);
        } catch (ReflectiveOperationException e) {
            throw new ExceptionInInitializerError(e);
        }
    }

    /** Sets the request that waits from now on. */
    void expect(String requestId) {
        expectedId = requestId;
    }

    /** Returns whether an answer was dropped, after which the connection is not used again. */
    boolean spoiled() {
        return spoiled;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpResponse response) {
            String id = response.headers().get(idHeader);
            dropping = id != null && !id.equals(expectedId);
            spoiled |= dropping;
        }
        if (!dropping) {
            context.fireChannelRead(message);
            return;
        }
        dropping = !(message instanceof LastHttpContent);
        ReferenceCountUtil.release(message);
    }
}
