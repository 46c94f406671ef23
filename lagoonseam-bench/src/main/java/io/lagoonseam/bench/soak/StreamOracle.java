package io.lagoonseam.bench.soak;

import io.lagoonseam.bench.soak.SoakLog.LimitChange;
import io.lagoonseam.bench.soak.SoakLog.NodeEvent;
import io.lagoonseam.bench.soak.SoakLog.StreamTry;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Checks what callers that take streams up at other nodes have received. */
final class StreamOracle {

    private static final Pattern EVENT =
            Pattern.compile("worker: (\\S+)\nid: (\\d+)\ndata: token (\\d+) of (\\S+)\n\n");

    /** How long a node has to have been without a fault, and a worker without a limit, in milliseconds. */
    private static final long CONTACT_MILLIS = 3_000;

    private static final int MIN_TAKEN_UP = 12;
    private static final int MIN_WORKERS = 2;

    private final List<StreamTry> tries;
    private final List<NodeEvent> nodeEvents;
    private final List<LimitChange> limitChanges;
    private final Map<String, String> versionByWorker;
    private final Map<String, Integer> runsById;
    private final List<String> violations = new ArrayList<>();

    /** What a caller has of one stream. */
    private static final class Held {
        private final Set<String> versions = new TreeSet<>();
        private int lastEvent;
    }

    StreamOracle(SoakLog log, Map<String, String> versionByWorker, Map<String, Integer> runsById) {
        this.tries = log.streamTries().stream()
                .sorted(Comparator.comparingLong(StreamTry::sentMillis))
                .toList();
        this.nodeEvents = log.nodeEvents();
        this.limitChanges = log.limitChanges();
        this.versionByWorker = Map.copyOf(versionByWorker);
        this.runsById = Map.copyOf(runsById);
    }

    /** Returns what was violated, one line for each case. */
    List<String> check() {
        Map<String, Held> heldByStream = new LinkedHashMap<>();
        int begins = 0;
        int begun = 0;
        int takenUp = 0;
        int goneOn = 0;
        for (StreamTry attempt : tries) {
            Held held = heldByStream.computeIfAbsent(attempt.stream(), stream -> new Held());
            boolean counts = inTouch(attempt) && (attempt.afterEvent() == 0 || served(held, attempt));
            int before = held.lastEvent;
            checkTry(attempt, held);
            int progress = held.lastEvent > before ? 1 : 0;
            if (counts && attempt.afterEvent() == 0) {
                begins++;
                begun += progress;
            } else if (counts) {
                takenUp++;
                goneOn += progress;
            }
        }
        if (takenUp >= MIN_TAKEN_UP && 2L * goneOn * begins < (long) begun * takenUp) {
            violations.add("LOST " + goneOn + " of " + takenUp + " streams that were taken up went on, " + begun
                    + " of " + begins + " began");
        }
        return violations;
    }

    private void checkTry(StreamTry attempt, Held held) {
        if (attempt.status() == 503 && runsById.getOrDefault(attempt.id(), 0) > 0) {
            violations.add("NOT_RUN_IS_TRUE " + attempt.id() + " was refused and ran");
        }
        for (Matcher matcher = EVENT.matcher(attempt.body()); matcher.find(); ) {
            int event = Integer.parseInt(matcher.group(2));
            boolean own = matcher.group(4).equals(attempt.id());
            if (!own || event != held.lastEvent + 1 || Integer.parseInt(matcher.group(3)) != event) {
                violations.add("OWN_ANSWER_WHOLE " + attempt.id() + " got after event " + held.lastEvent + ": "
                        + matcher.group().replace('\n', ' '));
            }
            held.lastEvent = event;
            held.versions.add(versionByWorker.get(matcher.group(1)));
        }
        if (held.versions.size() > 1) {
            violations.add("ONE_VERSION " + attempt.id() + " holds events of " + held.versions);
        }
        if (attempt.status() == 200 && held.lastEvent != SoakCaller.EVENTS) {
            violations.add("OWN_ANSWER_WHOLE " + attempt.id() + " was complete after event " + held.lastEvent);
        }
    }

    private boolean inTouch(StreamTry attempt) {
        return nodeEvents.stream()
                .noneMatch(event -> event.node() == attempt.node()
                        && event.fromMillis() <= attempt.sentMillis() + CONTACT_MILLIS
                        && event.toMillis() + CONTACT_MILLIS >= attempt.sentMillis());
    }

    /** Returns whether two workers of the version of a stream served without a limit. */
    private boolean served(Held held, StreamTry attempt) {
        Predicate<String> unlimited = worker -> limitChanges.stream()
                .filter(change -> change.worker().equals(worker))
                .noneMatch(change -> limitedAt(worker, attempt.sentMillis())
                        || limitedAt(worker, attempt.sentMillis() - CONTACT_MILLIS)
                        || Math.abs(change.atMillis() - attempt.sentMillis()) < CONTACT_MILLIS);
        return versionByWorker.entrySet().stream()
                        .filter(entry -> held.versions.contains(entry.getValue()) && unlimited.test(entry.getKey()))
                        .count()
                >= MIN_WORKERS;
    }

    private boolean limitedAt(String worker, long atMillis) {
        boolean limited = false;
        for (LimitChange change : limitChanges) {
            if (change.worker().equals(worker) && change.atMillis() <= atMillis) {
                limited = Double.isFinite(change.perSecond());
            }
        }
        return limited;
    }
}
