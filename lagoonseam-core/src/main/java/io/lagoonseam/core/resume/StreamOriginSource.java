package io.lagoonseam.core.resume;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Tells which software version began a stream. */
public interface StreamOriginSource {

    /** Knows no stream. */
    StreamOriginSource NONE = new StreamOriginSource() {
        @Override
        public void began(StreamKey stream, StreamOrigin origin, long lifetimeMillis) {}

        @Override
        public CompletionStage<Optional<StreamOrigin>> find(StreamKey stream, ServiceWindow window) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
    };

    /**
     * Records that the first event of a stream is about to be forwarded, or that the stream goes on.
     *
     * @param stream the stream
     * @param origin what began it
     * @param lifetimeMillis how long its caller may still take it up, in milliseconds
     */
    void began(StreamKey stream, StreamOrigin origin, long lifetimeMillis);

    /**
     * Finds out what began a stream.
     *
     * @param stream the stream
     * @param window where it began, for a stream that no node knows: if the service has had only one software version
     *     since, it began at that one
     * @return completes with the origin, empty if no node that answers in time can tell; never completes exceptionally
     */
    CompletionStage<Optional<StreamOrigin>> find(StreamKey stream, ServiceWindow window);
}
