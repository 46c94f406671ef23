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
 * Discards responses on a worker's connection that belong to another request than the one awaiting a response; a
 * response without an id is accepted. A worker may respond twice to a request; without the filter the second response
 * would be taken for that of the next request on the connection.
 */
final class MismatchedResponseFilter extends ChannelInboundHandlerAdapter {

    private static final String NAME = "answer-filter";
    private static final VarHandle WRAPPED_CONNECTION = wrappedConnectionHandle();

    private final String idHeader;
    private String expectedId = "";
    private boolean discarding;
    private boolean discardedResponse;

    private MismatchedResponseFilter(String idHeader) {
        super();
        this.idHeader = idHeader;
    }

    /**
     * Returns the filter of a connection; the first call installs it behind the HTTP decoder.
     *
     * @param connection a connection to a worker
     * @param idHeader the header in which workers echo the id of a request
     * @return the filter in the pipeline of the connection
     */
    static MismatchedResponseFilter of(HttpConnection connection, String idHeader) {
        HttpClientConnectionInternal base = unwrap(connection);
        ChannelPipeline pipeline = base.channelHandlerContext().pipeline();
        MismatchedResponseFilter existing = (MismatchedResponseFilter) pipeline.get(NAME);
        if (existing != null) {
            return existing;
        }
        MismatchedResponseFilter filter = new MismatchedResponseFilter(idHeader);
        pipeline.addBefore(base.channelHandlerContext().name(), NAME, filter);
        return filter;
    }

    private static HttpClientConnectionInternal unwrap(HttpConnection connection) {
        if (connection instanceof HttpClientConnectionInternal base) {
            return base;
        }
        return (HttpClientConnectionInternal) WRAPPED_CONNECTION.get((UnpooledHttpClientConnection) connection);
    }

    /**
     * Returns access to the connection inside Vert.x's wrapper for unpooled connections. This private field is the only
     * way from the wrapper to its channel.
     */
    private static VarHandle wrappedConnectionHandle() {
        try {
            return MethodHandles.privateLookupIn(UnpooledHttpClientConnection.class, MethodHandles.lookup())
                    .findVarHandle(UnpooledHttpClientConnection.class, "actual", HttpClientConnectionInternal.class);
        } catch (ReflectiveOperationException e) {
            throw new ExceptionInInitializerError(e);
        }
    }

    /** Sets the id of the request whose response is awaited from now on. */
    void expect(String requestId) {
        expectedId = requestId;
    }

    /** Returns whether a response was discarded; such a connection must not be reused. */
    boolean discardedResponse() {
        return discardedResponse;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpResponse response) {
            String id = response.headers().get(idHeader);
            discarding = id != null && !id.equals(expectedId);
            discardedResponse |= discarding;
        }
        if (!discarding) {
            context.fireChannelRead(message);
            return;
        }
        discarding = !(message instanceof LastHttpContent);
        ReferenceCountUtil.release(message);
    }
}
