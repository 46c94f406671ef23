package io.lagoonseam.cli.config;

import io.lagoonseam.entry.configuration.InForceReader;
import io.lagoonseam.entry.configuration.InForceStatus;
import java.io.PrintStream;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Waits until every data centre confirms that a generation is in force, and prints those that do not. */
final class InForceWait {

    private static final long POLL_MILLIS = 250;

    private final PlatformSession session;
    private final PrintStream out;

    InForceWait(PlatformSession session, PrintStream out) {
        this.session = session;
        this.out = out;
    }

    void await(long generation, long waitSeconds) throws TimeoutException, InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(waitSeconds);
        Optional<List<InForceStatus>> statuses = readStatuses();
        while (!allConfirm(statuses, generation) && System.nanoTime() < deadlineNanos) {
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            statuses = readStatuses();
        }
        printStatuses(statuses, generation);
    }

    private static boolean allConfirm(Optional<List<InForceStatus>> statuses, long generation) {
        return statuses.isPresent() && statuses.get().stream().allMatch(status -> status.confirms(generation));
    }

    private void printStatuses(Optional<List<InForceStatus>> statuses, long generation) {
        if (statuses.isEmpty()) {
            out.println("the platform does not tell where it is in force");
        } else if (statuses.get().isEmpty()) {
            out.println("no data centre reports yet");
        } else if (allConfirm(statuses, generation)) {
            out.println("in force in all " + statuses.get().size() + " data centres");
        } else {
            statuses.get().stream()
                    .filter(status -> !status.confirms(generation))
                    .forEach(status -> out.printf(
                            "not confirmed: %s is at generation %d of %d members%s%n",
                            status.dataCentre(),
                            status.generation(),
                            status.members(),
                            status.missing().isEmpty() ? "" : ", without a report from " + status.missing()));
        }
    }

    private Optional<List<InForceStatus>> readStatuses() throws TimeoutException {
        return session.await(new InForceReader(session.store()).read());
    }
}
