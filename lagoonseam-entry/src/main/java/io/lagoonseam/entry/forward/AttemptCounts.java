package io.lagoonseam.entry.forward;

import io.lagoonseam.core.forward.AttemptPolicy;
import io.lagoonseam.core.forward.WorkKind;
import io.lagoonseam.wire.DetourMessages.Outcome;

/** What has become of the attempts of one request, at workers of this node and of nodes that it was sent through. */
final class AttemptCounts {

    private final int maxRuns;
    private int runs;
    private int rejections;
    private int connectFailures;

    AttemptCounts(int maxRuns) {
        this.maxRuns = maxRuns;
    }

    /** Returns the number of workers that have run the request or may have run it. */
    int runs() {
        return runs;
    }

    int runsLeft() {
        return maxRuns - runs;
    }

    /** Returns the number of workers that the request has reached. */
    int arrivals() {
        return runs + rejections;
    }

    /** Returns whether no attempt has been made or failed yet. */
    boolean none() {
        return arrivals() + connectFailures == 0;
    }

    /** The request is about to be sent: from here on it may run. */
    void sending() {
        runs++;
    }

    /** The worker has proved that it did not run the request. */
    void rejected() {
        runs--;
        rejections++;
    }

    /** A node through which the request was sent has told what became of it. */
    void told(Outcome outcome) {
        runs += outcome.runs() - 1;
    }

    /** A node through which the request was sent does not tell how many workers have run it. */
    void unknown() {
        runs = Math.max(runs, maxRuns);
    }

    void connectFailed() {
        connectFailures++;
    }

    /** Forgets the failed connections, since those from now on are of another kind. */
    void resetConnectFailures() {
        connectFailures = 0;
    }

    AttemptPolicy.History history(WorkKind kind, long remainingMillis) {
        return new AttemptPolicy.History(kind, maxRuns, runs, rejections, connectFailures, remainingMillis);
    }
}
