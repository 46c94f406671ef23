package io.lagoonseam.entry.dispatch;

import io.lagoonseam.core.configuration.Upstream;
import io.lagoonseam.entry.upstream.AttemptFailure;
import io.lagoonseam.entry.upstream.GenerateRequest;
import io.lagoonseam.entry.upstream.StreamAttempt;
import io.lagoonseam.entry.upstream.StreamLimits;
import io.lagoonseam.entry.upstream.StreamListener;
import io.lagoonseam.entry.upstream.UpstreamClient;
import java.util.concurrent.TimeUnit;

/** One worker's part in a generating request: a stream, perhaps resumed over further connections. */
final class GenerateAttempt implements StreamListener {

    private static final int PACE_TOKENS = 4;

    private final UpstreamClient client;
    private final GenerateRequest request;
    private final Upstream upstream;
    private final Owner owner;
    private StreamAttempt stream;
    private String streamId;
    private boolean opened;
    private boolean resumed;
    private long sentNanos;
    private long paceStartNanos;
    private int paceTokens;

    /** Hears what the attempt brings. */
    interface Owner {

        void sending();

        void firstToken(long sinceSendingMillis);

        void pace(Upstream upstream, double gapMillis);

        void token(GenerateAttempt attempt, int index, String text);

        void completed(GenerateAttempt attempt, int wholeTokens);

        void failed(GenerateAttempt attempt, AttemptFailure failure);
    }

    GenerateAttempt(UpstreamClient client, GenerateRequest request, Upstream upstream, Owner owner) {
        this.client = client;
        this.request = request;
        this.upstream = upstream;
        this.owner = owner;
    }

    Upstream upstream() {
        return upstream;
    }

    void generate(StreamLimits limits, int offset) {
        stream = client.generate(upstream, request, limits, offset, this);
    }

    /** Returns whether the worker probably still holds the stream of the connection that just failed. */
    boolean resumableAfter(AttemptFailure failure) {
        return failure.resumable() && opened && streamId != null;
    }

    void resume(StreamLimits limits, int offset) {
        opened = false;
        resumed = true;
        stream = client.resume(upstream, streamId, request, limits, offset, this);
    }

    /** Stops reading and tells the worker to stop. */
    void cancel() {
        stream.abandon();
        if (streamId != null) {
            client.cancel(upstream, streamId);
        }
    }

    @Override
    public void sending() {
        if (!resumed) {
            sentNanos = System.nanoTime();
            owner.sending();
        }
    }

    @Override
    public void opened(String openedStreamId) {
        opened = true;
        if (openedStreamId != null) {
            streamId = openedStreamId;
        }
    }

    @Override
    public void token(int index, String text) {
        measure();
        owner.token(this, index, text);
    }

    private void measure() {
        if (resumed) {
            return;
        }
        long nowNanos = System.nanoTime();
        if (paceStartNanos == 0) {
            paceStartNanos = nowNanos;
            owner.firstToken(TimeUnit.NANOSECONDS.toMillis(nowNanos - sentNanos));
            return;
        }
        paceTokens++;
        if (paceTokens == PACE_TOKENS) {
            owner.pace(upstream, (nowNanos - paceStartNanos) / 1e6 / paceTokens);
            paceStartNanos = nowNanos;
            paceTokens = 0;
        }
    }

    @Override
    public void completed(int wholeTokens) {
        owner.completed(this, wholeTokens);
    }

    @Override
    public void failed(AttemptFailure failure) {
        owner.failed(this, failure);
    }
}
