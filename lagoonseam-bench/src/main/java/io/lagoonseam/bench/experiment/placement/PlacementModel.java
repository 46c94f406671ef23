package io.lagoonseam.bench.experiment.placement;

import io.lagoonseam.core.forward.PromptShape;
import io.lagoonseam.core.forward.RetryAfter;
import io.lagoonseam.core.placement.OverloadRules;
import io.lagoonseam.core.placement.PlacementHome;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** Plays one scenario with one way of placement on a virtual clock, from cold workers on. */
final class PlacementModel {

    private static final long DURATION_MILLIS = 20_000;
    private static final long SECOND_MILLIS = 1_000;

    /** The share of the callers of a second from which they count as served again. */
    private static final double RECOVERED_SHARE = 0.9;

    private static final long BURST_BEGIN_MILLIS = 500;
    private static final long BURST_END_MILLIS = 9_000;
    private static final long LOSS_BEGIN_MILLIS = 2_600;
    private static final long LOSS_END_MILLIS = 6_000;
    /** The time from a rejection or a failed connection to the next attempt, in milliseconds. */
    private static final long RETRY_MILLIS = 5;

    /** How long after a loss the nodes know of it, in milliseconds. */
    private static final long NOTICE_MILLIS = 300;

    private final PlacementScenario scenario;
    private final Random random;
    private final List<EngineModel> engines = new ArrayList<>();
    private final Map<ModelRequest, Integer> workerOf = new HashMap<>();
    private final EventSchedule events = new EventSchedule();
    private final Set<Long> prefixesRead = new HashSet<>();
    private final Map<String, ClassCount> counts = new HashMap<>();
    private final PlacementWay.Actions actions;
    private final PlacementWay way;
    private final int[] asked = new int[(int) (DURATION_MILLIS / SECOND_MILLIS)];
    private final int[] served = new int[asked.length];
    private long nowMillis;
    private long rejected;
    private long firstReads;

    /** The ways that are compared. */
    enum Way {
        /** Each node decides, with an exchange of counts. */
        EXCHANGE,
        /** A home decides. */
        HOME,
        /** A home decides, without rules for overload. */
        HOME_WITHOUT_RULES,
        /** A home decides without any delay of messages. */
        HOME_WITHOUT_DELAY
    }

    /** What callers of one class got. */
    static final class ClassCount {
        int asked;
        int inTime;
        int late;
        int refused;
        int lost;

        double inTimeShare() {
            return asked == 0 ? 1 : (double) inTime / asked;
        }
    }

    /**
     * The result of a run.
     *
     * @param classes what callers got, by class
     * @param readTokens the prompt tokens that all workers read
     * @param neededTokens those that had to be read: each prefix once, and the rest of each prompt that was sent
     * @param preemptions the number of preemptions
     * @param rejected the number of requests that arrived at a full worker
     * @param messages the number of messages between nodes
     * @param recoveryMillis how long after the burst more than a tenth of the callers were not served, in milliseconds
     * @param servedInBurst the callers that came in the burst and were served
     */
    record Result(
            Map<String, ClassCount> classes,
            long readTokens,
            long neededTokens,
            long preemptions,
            long rejected,
            long messages,
            long recoveryMillis,
            int servedInBurst) {}

    PlacementModel(PlacementScenario scenario, Way way, long seed) {
        this.scenario = scenario;
        this.random = new Random(seed);
        this.actions = new ModelActions();
        Map<Way, PlacementWay> ways = new EnumMap<>(Way.class);
        ways.put(Way.EXCHANGE, new ExchangeWay(scenario.nodes(), scenario.engine(), actions, new Random(seed)));
        ways.put(Way.HOME, home(OverloadRules.ALL, 1, 20));
        ways.put(Way.HOME_WITHOUT_RULES, home(OverloadRules.NONE, 1, 20));
        ways.put(Way.HOME_WITHOUT_DELAY, home(OverloadRules.ALL, 0, 0));
        this.way = ways.get(way);
    }

    private PlacementWay home(OverloadRules rules, long messageMillis, long gatherMillis) {
        return new HomeWay(
                () -> new PlacementHome(ModelWorkers.create(scenario.engine()), rules),
                scenario.engine().slots(),
                actions,
                messageMillis,
                gatherMillis);
    }

    private final class ModelActions implements PlacementWay.Actions {
        @Override
        public void send(ModelRequest request, int worker, int copyFrom, long atMillis) {
            events.at(Math.max(atMillis, nowMillis + 1), () -> arrive(request, worker, copyFrom));
        }

        @Override
        public void refuse(ModelRequest request, long backlogMillis) {
            long leftMillis = request.firstMillis + request.kind.deadlineMillis() - nowMillis;
            if (request.retried || leftMillis <= 0) {
                count(request).refused++;
                request.ended = true;
                return;
            }
            request.retried = true;
            long delayMillis = RetryAfter.delayMillis(leftMillis, backlogMillis, 0, random.nextDouble());
            events.at(nowMillis + delayMillis, () -> way.submit(request, nowMillis));
        }
    }

    private void arrive(ModelRequest request, int worker, int copyFrom) {
        if (request.ended || workerOf.containsKey(request)) {
            way.onEnd(request, worker, false, nowMillis);
            return;
        }
        EngineModel source = copyFrom < 0 ? null : engines.get(copyFrom);
        EngineModel engine = engines.get(worker);
        if (!engine.add(request, source)) {
            rejected += engine.up ? 1 : 0;
            way.onEnd(request, worker, !engine.up, nowMillis);
            events.at(nowMillis + RETRY_MILLIS, () -> way.submit(request, nowMillis));
            return;
        }
        workerOf.put(request, worker);
        firstReads += request.prompt.tokens() - request.prompt.prefixTokens();
        if (prefixesRead.add(request.prompt.prefixHash())) {
            firstReads += request.prompt.prefixTokens();
        }
    }

    private void onFirstEvent(ModelRequest request) {
        request.firstEventMillis = nowMillis;
        int worker = workerOf.get(request);
        EngineModel engine = engines.get(worker);
        way.onFirstEvent(request, worker, engine.running(), engine.waiting(), nowMillis);
    }

    private void onEnd(ModelRequest request) {
        request.ended = true;
        served(request);
        if (request.inTime()) {
            count(request).inTime++;
        } else {
            count(request).late++;
        }
        way.onEnd(request, workerOf.remove(request), false, nowMillis);
    }

    private void served(ModelRequest request) {
        served[(int) (request.firstMillis / SECOND_MILLIS)]++;
    }

    /** Returns how long after the burst more than a tenth of the callers of a second were not served. */
    private long recoveryMillis() {
        int last = (int) (BURST_END_MILLIS / SECOND_MILLIS) - 1;
        for (int second = last + 1; second < asked.length; second++) {
            if (served[second] < RECOVERED_SHARE * asked[second]) {
                last = second;
            }
        }
        return Math.max(0, (last + 1) * SECOND_MILLIS - BURST_END_MILLIS);
    }

    private ClassCount count(ModelRequest request) {
        return counts.computeIfAbsent(request.kind.name(), name -> new ClassCount());
    }

    Result run() {
        for (int index = 0; index < scenario.workers(); index++) {
            engines.add(new EngineModel(scenario.engine(), this::onFirstEvent, this::onEnd));
        }
        way.workers(serving(), 0);
        for (RequestKind kind : scenario.mix()) {
            arrivals(kind);
        }
        events.at(LOSS_BEGIN_MILLIS, this::loseWorkers);
        events.at(LOSS_END_MILLIS, () -> engines.forEach(engine -> engine.up = true));
        events.at(LOSS_END_MILLIS + NOTICE_MILLIS, () -> way.workers(serving(), nowMillis));
        if (scenario.homeDiesMillis() > 0) {
            events.at(scenario.homeDiesMillis(), () -> way.killHome(nowMillis));
        }
        for (nowMillis = 0; nowMillis < DURATION_MILLIS; nowMillis++) {
            events.run(nowMillis);
            way.tick(nowMillis);
            for (EngineModel engine : engines) {
                engine.advance(nowMillis);
            }
        }
        return new Result(
                Map.copyOf(counts),
                engines.stream().mapToLong(engine -> engine.readTokens).sum(),
                firstReads,
                engines.stream().mapToLong(engine -> engine.preemptions).sum(),
                rejected,
                way.messages(),
                recoveryMillis(),
                Arrays.stream(served, 0, (int) (BURST_END_MILLIS / SECOND_MILLIS))
                        .sum());
    }

    private List<Integer> serving() {
        List<Integer> serving = new ArrayList<>();
        for (int index = 0; index < engines.size(); index++) {
            if (engines.get(index).up) {
                serving.add(index);
            }
        }
        return serving;
    }

    private void loseWorkers() {
        int count = (int) Math.round(scenario.lostWorkers() * engines.size());
        for (int index = 0; index < count; index++) {
            int worker = index;
            for (ModelRequest request : engines.get(index).crash()) {
                count(request).lost++;
                request.ended = true;
                workerOf.remove(request);
                way.onEnd(request, worker, true, nowMillis);
            }
        }
        events.at(nowMillis + NOTICE_MILLIS, () -> way.workers(serving(), nowMillis));
    }

    private void arrivals(RequestKind kind) {
        double time = 0;
        // callers of the last four seconds would not be answered within the run
        while (time < DURATION_MILLIS - 4_000) {
            boolean burst = kind.priority() == 2 && time >= BURST_BEGIN_MILLIS && time < BURST_END_MILLIS;
            double perMilli = kind.perSecond() * scenario.workers() * (burst ? scenario.burst() : 1) / 1_000;
            time += -Math.log(1 - random.nextDouble()) / perMilli;
            long arrival = Math.round(time);
            ModelRequest request = request(kind, arrival);
            events.at(arrival, () -> {
                count(request).asked++;
                asked[(int) (nowMillis / SECOND_MILLIS)]++;
                way.submit(request, nowMillis);
            });
            events.at(arrival + kind.deadlineMillis(), () -> giveUp(request));
        }
    }

    private void giveUp(ModelRequest request) {
        if (request.ended) {
            return;
        }
        request.ended = true;
        count(request).lost++;
        Integer worker = workerOf.remove(request);
        if (worker != null) {
            engines.get(worker).remove(request);
            way.onEnd(request, worker, false, nowMillis);
        }
    }

    private ModelRequest request(RequestKind kind, long arrivalMillis) {
        int prefixes = Math.max(1, (int) Math.round(kind.prefixes() * scenario.workers()));
        int prefix = random.nextInt(prefixes);
        Random sizes = new Random(31L * prefix + kind.priority());
        int prefixTokens = size(kind.prefixTokens(), 0.7, 3, sizes);
        int ownTokens = size(kind.ownTokens(), 1.1, 14, random);
        return new ModelRequest(
                kind,
                random.nextInt(scenario.nodes()),
                arrivalMillis,
                new PromptShape(1_000_000L * (kind.priority() + 1) + prefix, prefixTokens, prefixTokens + ownTokens),
                size(kind.generatedTokens(), 1.0, 4, random));
    }

    /** Draws a log-normal size with the given mean and spread, cut at a multiple of the mean. */
    private static int size(int mean, double spread, int cut, Random source) {
        double drawn = mean * Math.exp(spread * source.nextGaussian() - spread * spread / 2);
        return (int) Math.max(1, Math.min(cut * (double) mean, drawn));
    }
}
