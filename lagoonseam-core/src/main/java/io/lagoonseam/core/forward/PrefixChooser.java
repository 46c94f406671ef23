package io.lagoonseam.core.forward;

import io.lagoonseam.core.hash.Rendezvous;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Sends the requests that share a part of their prompt to the same worker of their lane, on every node alike, so that
 * the part is read once. The request leaves that worker only if it would miss its objective there and another one is
 * sooner, which then copies the shared parts instead of reading them. A request that would miss its objective
 * everywhere waits: sent all the same, it would only make the others late too. At an idle worker there is nothing to
 * wait for.
 */
public final class PrefixChooser implements UpstreamChooser {

    /** The part of the objective that may pass before the first event; the rest covers the way and the uncertain. */
    private static final double OBJECTIVE_SHARE = 0.75;

    /** The part of the objective within which a request is sent although its objective has passed. */
    private static final double LATE_SHARE = 0.2;

    /**
     * The part of a worker's memory that running prompts of tolerant requests may take. The rest keeps shared parts:
     * once they are pushed out each prompt is read whole, which lasts longer, so that more run at a time and push out
     * more.
     */
    private static final double PROMPT_MEMORY_SHARE = 0.6;

    @Override
    public Optional<Choice> choose(ChoiceRequest request, Collection<UpstreamState> workers) {
        List<UpstreamState> order = order(request, workers);
        if (order.isEmpty()) {
            return Optional.empty();
        }
        UpstreamState home = order.get(0);
        UpstreamState firstHome = firstHome(request, workers);
        Choice best = null;
        double bestMillis = Double.MAX_VALUE;
        for (UpstreamState worker : order) {
            Choice choice = choice(request, worker, firstHome, workers);
            double millis = expectedMillis(request, choice);
            if (worker.equals(home) && inTime(request, millis)) {
                return Optional.of(choice);
            }
            boolean ownLane = worker.lane() == request.lane();
            boolean mayLeave = ownLane || request.lane() == Lane.SENSITIVE;
            if (mayLeave && millis < bestMillis) {
                best = choice;
                bestMillis = millis;
            }
        }
        boolean sends = best != null && (inTime(request, bestMillis) || idle(request, best.worker()));
        return sends ? Optional.of(best) : Optional.empty();
    }

    private static boolean idle(ChoiceRequest request, UpstreamState worker) {
        return worker.inFlight(request.nowMillis()) == 0;
    }

    /** Orders the workers by rendezvous hashing, those of the request's lane first. */
    private static List<UpstreamState> order(ChoiceRequest request, Collection<UpstreamState> workers) {
        List<UpstreamState> order = new ArrayList<>();
        for (UpstreamState worker : workers) {
            boolean full = worker.inFlight(request.nowMillis())
                    >= Math.max(1, worker.record().slots());
            if (!full
                    && !crowded(request, worker)
                    && !request.avoided().contains(worker.record().id())) {
                order.add(worker);
            }
        }
        order.sort(byPlace(request));
        return order;
    }

    /** Returns the worker that would be the home if none were full. */
    private static UpstreamState firstHome(ChoiceRequest request, Collection<UpstreamState> workers) {
        return Collections.min(workers, byPlace(request));
    }

    private static Comparator<UpstreamState> byPlace(ChoiceRequest request) {
        long affinity = request.prompt().affinity();
        return Comparator.comparing((UpstreamState worker) -> worker.lane() != request.lane())
                .thenComparing(worker -> -Rendezvous.mix(affinity, worker.hash()));
    }

    /** Whether the prompt would push shared parts out of the memory. An idle worker takes a prompt of any size. */
    private static boolean crowded(ChoiceRequest request, UpstreamState worker) {
        if (request.lane() != Lane.TOLERANT || request.memoryTokens() == 0) {
            return false;
        }
        double held = worker.heldTokens(request.nowMillis());
        return held > 0 && held + request.prompt().tokens() > PROMPT_MEMORY_SHARE * request.memoryTokens();
    }

    private static boolean inTime(ChoiceRequest request, double millis) {
        double limitMillis = request.objectiveLeftMillis() > 0
                ? OBJECTIVE_SHARE * request.objectiveLeftMillis()
                : LATE_SHARE * request.objectiveMillis();
        return millis <= limitMillis;
    }

    private static double expectedMillis(ChoiceRequest request, Choice choice) {
        UpstreamState worker = choice.worker();
        return worker.firstEventTime()
                .expectedMillis(worker.pendingTokens(request.nowMillis()) + choice.tokensToRead());
    }

    /**
     * A worker that lacks the shared parts copies them from one that keeps them. If none is known to, it asks the home,
     * which keeps them more often than this node hears of, and reads what the home lacks.
     */
    private static Choice choice(
            ChoiceRequest request, UpstreamState worker, UpstreamState home, Collection<UpstreamState> workers) {
        String reason = worker.equals(home) ? "home" : "spill";
        int sharedTokens = request.prompt().sharedTokens();
        long ownTokens = request.prompt().tokens() - sharedTokens;
        if (sharedTokens == 0 || keeps(worker, request)) {
            return new Choice(worker, ownTokens, Optional.empty(), reason);
        }
        for (UpstreamState other : workers) {
            if (keeps(other, request)) {
                return new Choice(worker, ownTokens, Optional.of(other), reason + "-copy");
            }
        }
        boolean none =
                worker.equals(home) || request.avoided().contains(home.record().id());
        Optional<UpstreamState> asked = none ? Optional.empty() : Optional.of(home);
        return new Choice(worker, request.prompt().tokens(), asked, reason + (asked.isEmpty() ? "-cold" : "-ask"));
    }

    private static boolean keeps(UpstreamState worker, ChoiceRequest request) {
        return worker.keptParts().keeps(request.prompt().affinity(), request.nowMillis());
    }
}
