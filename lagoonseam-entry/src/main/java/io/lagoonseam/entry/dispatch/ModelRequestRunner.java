package io.lagoonseam.entry.dispatch;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.configuration.Upstream;
import io.lagoonseam.entry.upstream.AttemptFailure;
import io.lagoonseam.entry.upstream.GenerateRequest;
import io.lagoonseam.entry.upstream.StreamAttempt;
import io.lagoonseam.entry.upstream.StreamListener;

/** Runs a generating request: resumes a broken stream, or goes on with it on another worker. */
final class ModelRequestRunner extends AbstractRequestRunner {

    private final GenerateRequest request;
    private StreamAttempt attempt;
    private String streamId;
    private int tokens;
    private long firstTokenMillis = -1;

    ModelRequestRunner(Dispatcher dispatcher, ModelRequest request) {
        super(dispatcher, request.ticket(), request.context(), request.sink());
        this.request = request.upstreamRequest();
    }

    @Override
    void attempt(Upstream chosen) {
        streamId = null;
        attempt = dispatcher().upstreams().generate(chosen, request, tokens, new Listener(chosen));
    }

    @Override
    void abandonAttempt(Upstream held) {
        attempt.abandon();
        if (streamId != null) {
            dispatcher().upstreams().cancel(held, streamId);
        }
        dispatcher().metrics().wasted("callerGone", tokens);
    }

    private final class Listener implements StreamListener {

        private final Upstream upstream;

        private Listener(Upstream upstream) {
            this.upstream = upstream;
        }

        @Override
        public void sending() {
            markSent();
        }

        @Override
        public void opened(String openedStreamId) {
            if (openedStreamId != null) {
                streamId = openedStreamId;
            }
        }

        @Override
        public void token(int index, String text) {
            tokens = index + 1;
            if (firstTokenMillis < 0) {
                firstTokenMillis = dispatcher().time().monotonicMillis() - ticket().arrivalMillis();
            }
            sink().token(text);
        }

        @Override
        public void completed(int wholeTokens) {
            endWithAnswer(Math.max(0, firstTokenMillis), wholeTokens);
            sink().completed(wholeTokens);
        }

        @Override
        public void failed(AttemptFailure failure) {
            recover(upstream, failure);
        }
    }

    private void recover(Upstream upstream, AttemptFailure failure) {
        dispatcher().record(failure.event(), ticket().id() + " on " + upstream.name() + ": " + failure.message());
        if (!mayTryAgain(failure)) {
            endWithRefusal(refusalOf(failure));
            return;
        }
        if (failure.resumable() && streamId != null) {
            String resumed = streamId;
            streamId = null;
            dispatcher().record(EventCode.STREAM_RESUMED, ticket().id() + " at " + tokens);
            attempt = dispatcher().upstreams().resume(upstream, resumed, request, tokens, new Listener(upstream));
            return;
        }
        tryAnotherWorker();
    }
}
