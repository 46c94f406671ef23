package io.lagoonseam.entry.forward;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpConnection;

/**
 * Discards responses on a worker's connection that belong to another request than the one awaiting a response. A worker
 * may respond twice to a request; without the filter the second response would be taken for that of the next request on
 * the connection.
 *
 * <p>A connection is closed, so that nothing is concluded about the request, if a response cannot be told from the rest
 * of an earlier one: if its head is joined from two, if it has no id although the connection has carried another
 * request, or if a discarded response cannot be decoded. The same holds for a status that is none of the protocol.
 */
final class MismatchedResponseFilter extends ChannelInboundHandlerAdapter {

    private static final String NAME = "answer-filter";

    /**
     * How much is discarded on one connection, in bytes; a worker that sends more would keep its callers' node busy.
     */
    private static final long MAX_DISCARDED_BYTES = 1 << 20;

    private final String idHeader;
    private String expectedId = "";
    private int requests;
    private boolean unusable;
    private boolean discarding;
    private boolean discardedResponse;
    private long discardedBytes;

    MismatchedResponseFilter(String idHeader) {
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
        ChannelHandlerContext context = WorkerChannel.context(connection);
        ChannelPipeline pipeline = context.pipeline();
        MismatchedResponseFilter existing = (MismatchedResponseFilter) pipeline.get(NAME);
        if (existing != null) {
            return existing;
        }
        MismatchedResponseFilter filter = new MismatchedResponseFilter(idHeader);
        pipeline.addBefore(context.name(), NAME, filter);
        return filter;
    }

    /** Sets the id of the request whose response is awaited from now on. */
    void expect(String requestId) {
        expectedId = requestId;
        requests++;
    }

    /** Returns whether a response was discarded; such a connection must not be reused. */
    boolean discardedResponse() {
        return discardedResponse;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpResponse response && !isFailed(response)) {
            onHead(response);
        }
        if (discarding && message instanceof HttpObject part && isFailed(part)) {
            unusable = true;
        }
        if (!discarding && !unusable) {
            context.fireChannelRead(message);
            return;
        }
        if (message instanceof HttpContent content) {
            discardedBytes += content.content().readableBytes();
            unusable |= discardedBytes > MAX_DISCARDED_BYTES;
        }
        discarding = !(message instanceof LastHttpContent);
        ReferenceCountUtil.release(message);
        if (unusable) {
            context.close();
        }
    }

    private void onHead(HttpResponse response) {
        String id = response.headers().get(idHeader);
        boolean anonymous = id == null && requests > 1 && !expectedId.isEmpty();
        unusable |= anonymous || ResponseHeadCheck.isJoined(response) || !ResponseHeadCheck.hasUsableStatus(response);
        discarding = id != null && !id.equals(expectedId);
        discardedResponse |= discarding;
    }

    private static boolean isFailed(HttpObject part) {
        return part.decoderResult().isFailure();
    }
}
