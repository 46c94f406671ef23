package io.lagoonseam.entry.placement;

import io.lagoonseam.core.audit.DecisionLog;
import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.forward.PromptShape;
import io.lagoonseam.core.placement.HomeAvailability;
import io.lagoonseam.core.placement.HomeRanking;
import io.lagoonseam.core.ratelimit.LimitReport;
import io.lagoonseam.wire.PlacementMessages.Batch;
import io.lagoonseam.wire.PlacementMessages.Decided;
import io.lagoonseam.wire.PlacementMessages.Decisions;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Asks the homes of services for workers on behalf of this node, and falls back to the next home, or to this node's own
 * decision, if a home is silent. Not thread-safe: all calls and callbacks run on one event loop.
 */
public final class PlacementClient {

    private final HomeChannel channel;
    private final DecisionLog log;
    private final String dataCentre;
    private final Supplier<Map<String, Integer>> capacities;
    private final HomeAvailability availability = new HomeAvailability();
    private final Map<String, HomeLink> links = new HashMap<>();
    private final Map<String, List<String>> rankings = new HashMap<>();
    private Map<String, Integer> rankedCapacities = Map.of();
    private Runnable onWork = () -> {};
    private long fallbacks;

    /**
     * Creates a client that has asked no home yet.
     *
     * @param channel carries messages to homes, including one at this node
     * @param log the log
     * @param dataCentre the data centre of this node
     * @param capacities returns the capacity of each node that may be a home; the same object as long as nothing
     *     changes, and empty if there are so few nodes that each decides by itself
     */
    public PlacementClient(
            HomeChannel channel, DecisionLog log, String dataCentre, Supplier<Map<String, Integer>> capacities) {
        this.channel = channel;
        this.log = log;
        this.dataCentre = dataCentre;
        this.capacities = capacities;
    }

    /**
     * Sets what to call when {@link #tick} has something to do.
     *
     * @param value causes calls of it as long as {@link #busy} returns true
     */
    public void onWork(Runnable value) {
        this.onWork = value;
    }

    /** Returns whether {@link #tick} has something to do soon. */
    public boolean busy() {
        return links.values().stream().anyMatch(HomeLink::busy);
    }

    void wake() {
        onWork.run();
    }

    private List<String> ranking(String service) {
        Map<String, Integer> current = capacities.get();
        if (!current.equals(rankedCapacities)) {
            rankedCapacities = current;
            rankings.clear();
        }
        return rankings.computeIfAbsent(service, name -> HomeRanking.rank(name, current));
    }

    private HomeLink link(String service) {
        return links.computeIfAbsent(service, name -> new HomeLink(name, this));
    }

    /**
     * Asks the home of a request's service for a worker.
     *
     * @param request the request; exactly one of its callbacks is called later, possibly before this method returns
     * @param waitMillis the longest time that the request may wait at the home, in milliseconds
     * @return false if no home can be asked; no callback is called then
     */
    public boolean place(PlacedRequest request, long waitMillis) {
        Optional<String> home = availability.select(ranking(request.service()));
        if (home.isEmpty()) {
            if (!ranking(request.service()).isEmpty()) {
                fallbacks++;
            }
            return false;
        }
        HomeLink link = link(request.service());
        link.useHome(home.get());
        link.ask(request, waitMillis);
        return true;
    }

    /**
     * Withdraws a request that waits for a decision. None of its callbacks is called any more.
     *
     * @param request the request; ignored if it does not wait
     */
    public void withdraw(PlacedRequest request) {
        HomeLink link = links.get(request.service());
        if (link != null) {
            link.withdraw(request);
        }
    }

    /**
     * Records a request that this node has placed by its own decision.
     *
     * @param service the name of its service
     * @param workerId the id of the worker
     * @param prompt the shape of its prompt
     * @param unreadTokens the prompt tokens that the worker has to read
     * @return receives what becomes of the request
     */
    public Placement recordOwnDecision(String service, String workerId, PromptShape prompt, long unreadTokens) {
        if (ranking(service).isEmpty()) {
            return Placement.NONE;
        }
        return link(service).recordOwnDecision(workerId, prompt, unreadTokens);
    }

    /**
     * Reports the limit of a worker to the home of its service, if there is one.
     *
     * @param limit the limit, which has changed
     */
    public void reportLimit(LimitReport limit) {
        String service = limit.worker().service();
        if (!ranking(service).isEmpty()) {
            link(service).reportLimit(limit);
        }
    }

    /** Sends reports that are due and gives up on homes that do not decide; called every 10 ms while {@link #busy}. */
    public void tick() {
        List.copyOf(links.values()).forEach(HomeLink::tick);
    }

    /** Probes homes that were silent; called several times a second. */
    public void probe() {
        for (HomeLink link : links.values()) {
            for (String home : availability.dueProbes(ranking(link.service()), channel.nowMillis())) {
                Batch probe = new Batch(
                        link.service(),
                        dataCentre,
                        true,
                        false,
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of());
                channel.send(
                        home,
                        probe,
                        reply -> reply.filter(answer -> answer.session() != 0).ifPresent(answer -> onAnswer(home)));
            }
        }
    }

    /**
     * Applies decisions that a home sends about queued requests.
     *
     * @param home the id of the home
     * @param decisions the decisions
     */
    public void onLateDecisions(String home, Decisions decisions) {
        HomeLink link = link(decisions.service());
        for (Decided decided : decisions.decisions()) {
            link.onDecided(home, decided);
        }
        onAnswer(home);
    }

    void onAnswer(String home) {
        if (availability.recordAnswer(home)) {
            log.record(EventCode.HOME_BACK, home);
        }
    }

    void onSilence(String home, String service) {
        log.record(EventCode.HOME_SILENT, home + " of " + service);
        availability.recordSilence(home, channel.nowMillis());
    }

    void onFallback() {
        fallbacks++;
    }

    Optional<String> selectHome(String service) {
        return availability.select(ranking(service));
    }

    HomeChannel channel() {
        return channel;
    }

    String dataCentre() {
        return dataCentre;
    }

    /** Returns the number of requests that this node has had to place by its own decision. */
    public long fallbacks() {
        return fallbacks;
    }

    /** Returns the number of requests that wait for the decision of a home. */
    public int waitingRequests() {
        return links.values().stream().mapToInt(HomeLink::waitingRequests).sum();
    }
}
