package io.lagoonseam.entry.forward;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.forward.UpstreamDirectory;
import io.lagoonseam.core.forward.UpstreamRecord;
import io.lagoonseam.core.forward.UpstreamState;
import io.lagoonseam.core.ratelimit.AnnouncedLimits;
import io.lagoonseam.core.ratelimit.LimitReport;
import io.lagoonseam.core.ratelimit.WorkerIncarnation;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.Consumer;

/**
 * Applies what workers announce about themselves, to this node or to its peers: that they are leaving, that they want a
 * pause, or that they limit the rate of their requests. It holds for this node from the moment at which it learns of
 * it.
 */
final class WorkerAnnouncements {

    /** How long this node reports a leaving worker to its peers, in milliseconds: twenty rounds of the exchange. */
    private static final long LEAVING_REPORT_MILLIS = 5_000;

    private final ForwardEnvironment environment;
    private final UpstreamDirectory directory;
    private final Runnable onLeaving;
    private final AnnouncedLimits limits = new AnnouncedLimits();
    private Consumer<LimitReport> onLimitChange = limit -> {};

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

    /**
     * Applies what a worker says about itself in the headers of an answer.
     *
     * @param worker the worker
     * @param headers the headers
     * @param sentMillis the time at which the request was sent, in milliseconds
     */
    void onAnswer(UpstreamState worker, UpstreamResponseHeaders headers, long sentMillis) {
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
        applyLimit(record, headers, sentMillis);
    }

    private void applyLimit(UpstreamRecord record, UpstreamResponseHeaders headers, long sentMillis) {
        WorkerIncarnation incarnation = record.incarnation();
        boolean endsLimit = headers.limitPerSecond().isEmpty()
                && headers.genuine()
                && headers.malformedHeader().isEmpty();
        boolean changed = false;
        if (headers.limitPerSecond().isPresent() && !headers.wrongWorker()) {
            changed = limits.recordNamed(incarnation, headers.limitPerSecond().getAsDouble(), nowMillis());
        } else if (endsLimit) {
            changed = limits.recordNone(incarnation, sentMillis);
        }
        if (changed) {
            logLimit(incarnation, "answer");
            limits.report(incarnation, nowMillis()).ifPresent(onLimitChange);
        }
    }

    /** Applies what a peer knows of a limit. */
    void applyLimit(LimitReport report) {
        if (limits.apply(report, nowMillis())) {
            logLimit(report.worker(), "peer");
        }
    }

    AnnouncedLimits limits() {
        return limits;
    }

    /** Sets what is told about limits that workers have changed in answers to this node. */
    void onLimitChange(Consumer<LimitReport> value) {
        this.onLimitChange = value;
    }

    private void logLimit(WorkerIncarnation worker, String source) {
        OptionalDouble perSecond = limits.perSecond(worker);
        if (perSecond.isPresent()) {
            environment
                    .events()
                    .recordDecision(
                            EventCode.UPSTREAM_LIMIT_NAMED,
                            "",
                            "worker",
                            worker.id(),
                            "per_second",
                            perSecond.getAsDouble(),
                            "source",
                            source);
        } else {
            environment
                    .events()
                    .recordDecision(EventCode.UPSTREAM_LIMIT_ENDED, "", "worker", worker.id(), "source", source);
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
