package io.lagoonseam.entry.dispatch;

import io.lagoonseam.core.configuration.Upstream;
import io.lagoonseam.entry.upstream.AttemptFailure;
import io.lagoonseam.entry.upstream.GenerateRequest;
import io.lagoonseam.entry.upstream.StreamAttempt;
import io.lagoonseam.entry.upstream.StreamListener;
import io.lagoonseam.entry.upstream.StreamTimeouts;
import io.lagoonseam.entry.upstream.UpstreamClient;
import java.util.concurrent.TimeUnit;

/** An attempt at a model request on one worker: a stream that may be resumed over further connections. */
final class GenerateAttempt implements StreamListener {

    private static final int PACE_SAMPLE_TOKENS = 3;

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

    /** Receives the events of an attempt. */
    interface Owner {

        /** Called before the first byte of the request is written; not called for a resume. */
        void sending();

        /** Called at the first token with the time since sending, in milliseconds; not called for a resume. */
        void firstToken(long sinceSendingMillis);

        /**
         * Reports the mean time between tokens, measured over 3 tokens, in milliseconds; not measured after a resume.
         */
        void pace(Upstream upstream, double gapMillis);

        void token(GenerateAttempt attempt, int index, String text);

        void completed(GenerateAttempt attempt, int totalTokens);

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

    void generate(StreamTimeouts timeouts, int offset) {
        stream = client.generate(upstream, request, timeouts, offset, this);
    }

    /**
     * Returns whether the worker probably still holds the stream, so that it can be resumed: the stream was opened with
     * an id before the connection failed.
     */
    boolean resumableAfter(AttemptFailure failure) {
        return failure.resumable() && opened && streamId != null;
    }

    void resume(StreamTimeouts timeouts, int offset) {
        opened = false;
        resumed = true;
        stream = client.resume(upstream, streamId, request, timeouts, offset, this);
    }

    /** Stops reading and cancels the stream on the worker. */
    void cancel() {
        stream.cancel();
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
        measurePace();
        owner.token(this, index, text);
    }

    private void measurePace() {
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
        if (paceTokens == PACE_SAMPLE_TOKENS) {
            owner.pace(upstream, (nowNanos - paceStartNanos) / 1e6 / paceTokens);
            paceStartNanos = nowNanos;
            paceTokens = 0;
        }
    }

    @Override
    public void completed(int totalTokens) {
        owner.completed(this, totalTokens);
    }

    @Override
    public void failed(AttemptFailure failure) {
        owner.failed(this, failure);
    }
}
