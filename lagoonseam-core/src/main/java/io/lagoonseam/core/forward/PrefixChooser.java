package io.lagoonseam.core.forward;

import io.lagoonseam.core.hash.Rendezvous;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Sends requests with the same prompt prefix to the same worker of their lane, which rendezvous hashing selects alike
 * on every node, so that the prefix is read only once. A request spills over to another worker only if it would miss
 * its objective at this one: first to workers that have the prefix, then to one that copies it instead of reading it.
 * As long as the prefix is being read for the first time, it cannot be copied, and the request waits. A request that
 * would miss its objective at every worker stays in the queue, since sending it would only delay the other requests as
 * well. An idle worker gets it at once, since waiting would gain nothing.
 *
 * <p>Answers bursts of long prompts, at a node that sees the requests of few other nodes and at a home that knows those
 * of all nodes; a home keeps requests in their lanes, and in their data centres unless leaving pays.
 */
public final class PrefixChooser implements UpstreamChooser {

    /**
     * The share of the remaining objective that may pass before the first event. The rest covers network delay and
     * estimation error.
     */
    private static final double OBJECTIVE_SHARE = 0.75;

    /**
     * The share of the objective within which the first event has to be expected if the objective has already passed.
     */
    private static final double LATE_SHARE = 0.2;

    /**
     * The share of a worker's KV cache that the prompts of all running requests may occupy before no further tolerant
     * request is sent to it. The rest holds cached prefix segments. Once these are evicted, each prompt has to be read
     * whole, which takes longer, so that more prompts run at the same time and evict still more segments.
     */
    private static final double PROMPT_KV_SHARE = 0.6;

    /** The size from which a prefix is not read a second time while a first worker reads it, in tokens. */
    private static final int MIN_TOKENS_READ_ONCE = 2_000;

    @Override
    public Optional<Choice> choose(ChoiceRequest request, Collection<UpstreamState> workers) {
        List<UpstreamState> available = available(request, workers);
        if (available.isEmpty()) {
            return Optional.empty();
        }
        Comparator<UpstreamState> byRank = byRank(request);
        Prefix prefix = prefix(request, workers, Collections.min(workers, byRank));
        UpstreamState preferred = Collections.min(available, byRank);
        Choice first = choice(request, preferred, prefix);
        boolean mayPrefer = !prefix.beingRead() || holds(request, preferred);
        if (mayPrefer && inTime(request, first) && hasRoom(request, first)) {
            return Optional.of(first);
        }
        return spill(request, available, prefix);
    }

    /**
     * Chooses among all workers: those that have the prefix or are reading it first. A prefix that is being read is not
     * read a second time; the request waits until it can be copied.
     */
    private static Optional<Choice> spill(ChoiceRequest request, List<UpstreamState> available, Prefix prefix) {
        Optional<Choice> holder = fastest(request, available, prefix, true);
        if (holder.isPresent() && inTime(request, holder.get())) {
            return holder;
        }
        if (prefix.source().isEmpty() && prefix.beingRead() && !request.acceptsLate()) {
            return Optional.empty();
        }
        return fastest(request, available, prefix, false)
                .filter(choice -> request.acceptsLate() || inTime(request, choice) || idle(request, choice.worker()));
    }

    private static Optional<Choice> fastest(
            ChoiceRequest request, List<UpstreamState> available, Prefix prefix, boolean onlyHolders) {
        Comparator<UpstreamState> byRank = byRank(request);
        Choice best = null;
        double bestMillis = Double.MAX_VALUE;
        for (UpstreamState worker : available) {
            boolean maySpillOver = request.goesOn()
                    || worker.lane() == request.lane()
                    || request.lane() == Lane.SENSITIVE
                    || request.homePriority().isPresent();
            if (!maySpillOver || onlyHolders && !holds(request, worker)) {
                continue;
            }
            Choice choice = choice(request, worker, prefix);
            double millis = expectedMillis(request, choice) + ZoneToll.millis(request, worker);
            boolean better = millis < bestMillis
                    || millis == bestMillis && best != null && byRank.compare(worker, best.worker()) < 0;
            if (better && hasRoom(request, choice)) {
                best = choice;
                bestMillis = millis;
            }
        }
        return Optional.ofNullable(best);
    }

    private static boolean holds(ChoiceRequest request, UpstreamState worker) {
        return worker.cachedSegments().contains(request.prompt().prefixHash(), request.nowMillis());
    }

    private static boolean idle(ChoiceRequest request, UpstreamState worker) {
        return worker.inFlight(request.nowMillis()) == 0;
    }

    /** Returns the workers that can take the request. */
    private static List<UpstreamState> available(ChoiceRequest request, Collection<UpstreamState> workers) {
        boolean laneOnly =
                request.boundToLane() && workers.stream().anyMatch(worker -> worker.lane() == request.lane());
        List<UpstreamState> available = new ArrayList<>();
        for (UpstreamState worker : workers) {
            if (laneOnly && worker.lane() != request.lane()) {
                continue;
            }
            boolean full = worker.inFlight(request.nowMillis())
                    >= Math.max(1, worker.record().slots());
            if (!full
                    && !exceedsPromptKvShare(request, worker)
                    && !request.excludedWorkers().contains(worker.record().id())) {
                available.add(worker);
            }
        }
        return available;
    }

    /** Orders workers by rendezvous hashing, those of the request's lane first, then those it should not leave for. */
    private static Comparator<UpstreamState> byRank(ChoiceRequest request) {
        long prefixHash = request.prompt().prefixHash();
        return (left, right) -> {
            boolean ownLane = left.lane() == request.lane();
            if (ownLane != (right.lane() == request.lane())) {
                return ownLane ? -1 : 1;
            }
            boolean last = ZoneToll.comesLast(request, left);
            if (last != ZoneToll.comesLast(request, right)) {
                return last ? 1 : -1;
            }
            return Long.compare(Rendezvous.mix(prefixHash, right.hash()), Rendezvous.mix(prefixHash, left.hash()));
        };
    }

    /**
     * What is known of the request's prefix.
     *
     * @param home the first worker by rendezvous hashing, regardless of its load
     * @param source a worker that has read the prefix, empty if none is known
     * @param beingRead whether a worker is reading the prefix, which is so long that it should be read once
     */
    private record Prefix(UpstreamState home, Optional<UpstreamState> source, boolean beingRead) {}

    private static Prefix prefix(ChoiceRequest request, Collection<UpstreamState> workers, UpstreamState home) {
        long prefixHash = request.prompt().prefixHash();
        boolean beingRead = false;
        for (UpstreamState worker : workers) {
            if (worker.cachedSegments().hasRead(prefixHash, request.nowMillis())) {
                return new Prefix(home, Optional.of(worker), false);
            }
            beingRead |= worker.cachedSegments().isBeingRead(prefixHash, request.nowMillis());
        }
        return new Prefix(home, Optional.empty(), beingRead && request.prompt().prefixTokens() >= MIN_TOKENS_READ_ONCE);
    }

    /** Returns whether the prompt would evict cached prefix segments. An idle worker accepts a prompt of any size. */
    private static boolean exceedsPromptKvShare(ChoiceRequest request, UpstreamState worker) {
        if (request.goesOn() || request.lane() != Lane.TOLERANT || request.kvCapacityTokens() == 0) {
            return false;
        }
        double occupiedTokens = worker.occupiedKvTokens(request.nowMillis());
        return occupiedTokens > 0
                && occupiedTokens + request.prompt().tokens() > PROMPT_KV_SHARE * request.kvCapacityTokens();
    }

    private static boolean inTime(ChoiceRequest request, Choice choice) {
        return inTime(request, expectedMillis(request, choice));
    }

    /**
     * Returns whether the worker has room for the prompt. An idle worker accepts any, and a late request any worker.
     */
    private static boolean hasRoom(ChoiceRequest request, Choice choice) {
        return request.acceptsLate()
                || request.room().has(choice.worker(), choice.unreadTokens())
                || idle(request, choice.worker());
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
                .expectedMillis(
                        worker.pendingTokens(request.nowMillis(), request.homePriority()) + choice.unreadTokens());
    }

    /**
     * Returns the choice of a worker together with the source from which it copies the prefix segments that it lacks.
     * The source is a worker that has read them: one that is still reading them has nothing to copy yet. If there is
     * none, it is the home, which often has them cached without this node having been notified; the worker reads what
     * the home lacks.
     */
    private static Choice choice(ChoiceRequest request, UpstreamState worker, Prefix prefix) {
        UpstreamState home = prefix.home();
        String reason = worker.equals(home) ? "home" : "spill";
        int sharedTokens = request.prompt().prefixTokens();
        long unsharedTokens = request.prompt().tokens() - sharedTokens;
        if (sharedTokens == 0 || holds(request, worker)) {
            return new Choice(worker, unsharedTokens, Optional.empty(), reason);
        }
        if (prefix.source().isPresent()) {
            return new Choice(worker, unsharedTokens, prefix.source(), reason + "-copy");
        }
        boolean noSource = worker.equals(home)
                || request.excludedWorkers().contains(home.record().id());
        Optional<UpstreamState> source = noSource ? Optional.empty() : Optional.of(home);
        return new Choice(worker, request.prompt().tokens(), source, reason + (source.isEmpty() ? "-cold" : "-ask"));
    }
}
