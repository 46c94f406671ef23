package io.lagoonseam.entry.forward;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.forward.UpstreamDirectory;
import io.lagoonseam.core.forward.UpstreamRecord;
import io.lagoonseam.core.forward.UpstreamState;
import java.util.Map;

/**
 * Applies what workers announce about themselves, to this node or to its peers: that they are leaving, or that they
 * want a pause. Either holds for this node from the moment at which it learns of it.
 */
final class WorkerAnnouncements {

    /** How long this node reports a leaving worker to its peers, in milliseconds: twenty rounds of the exchange. */
    private static final long LEAVING_REPORT_MILLIS = 5_000;

    private final ForwardEnvironment environment;
    private final UpstreamDirectory directory;
    private final Runnable onLeaving;

    /**
     * Creates an object without announcements.
     *
     * @param environment the shared dependencies of the node
     * @param directory the workers that are known
     * @param onLeaving called when a worker has been marked as leaving
     */
    WorkerAnnouncements(ForwardEnvironment environment, UpstreamDirectory directory, Runnable onLeaving) {
        this.environment = environment;
        this.directory = directory;
        this.onLeaving = onLeaving;
    }

    private long nowMillis() {
        return environment.time().monotonicMillis();
    }

    /** Applies what a worker says about itself in the headers of an answer. */
    void onAnswer(UpstreamState worker, UpstreamResponseHeaders headers) {
        UpstreamRecord record = worker.record();
        if (!headers.malformedHeader().isEmpty()) {
            environment
                    .events()
                    .recordDecision(
                            EventCode.UPSTREAM_HEADER_MALFORMED,
                            "",
                            "worker",
                            record.id(),
                            "header",
                            headers.malformedHeader());
        }
        if (headers.retryAfterMillis() > 0) {
            pause(worker, headers.retryAfterMillis());
        }
        if (headers.leaving()) {
            markLeaving(Map.of(record.id(), record.startMillis()));
        }
    }

    /** Pauses a worker for at least the given time. */
    void pause(UpstreamState worker, long millis) {
        long nowMillis = nowMillis();
        if (worker.pauseMillis(nowMillis) == 0) {
            environment
                    .events()
                    .recordDecision(
                            EventCode.UPSTREAM_PAUSED,
                            "",
                            "worker",
                            worker.record().id(),
                            "pause_millis",
                            millis);
        }
        worker.pauseUntil(nowMillis + millis);
    }

    /** Marks incarnations of workers as leaving: they get no new requests. */
    void markLeaving(Map<String, Long> startMillisByWorker) {
        boolean changed = false;
        for (Map.Entry<String, Long> leaving : startMillisByWorker.entrySet()) {
            changed |= directory.markLeaving(leaving.getKey(), leaving.getValue(), nowMillis());
        }
        if (changed) {
            onLeaving.run();
        }
    }

    /** Returns the workers of which this node has learned lately that they are leaving, with their start times. */
    Map<String, Long> recentlyLeaving() {
        return directory.leavingSince(nowMillis() - LEAVING_REPORT_MILLIS);
    }
}
