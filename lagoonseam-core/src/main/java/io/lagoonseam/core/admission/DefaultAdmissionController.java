package io.lagoonseam.core.admission;

import io.lagoonseam.core.admission.internal.ClassQueue;
import io.lagoonseam.core.admission.internal.ClassScheduler;
import io.lagoonseam.core.admission.internal.QueueEntry;
import io.lagoonseam.core.admission.internal.ServiceRateEstimator;
import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.configuration.Tier;
import io.lagoonseam.core.verdict.Refusal;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Admits requests to a bounded queue for each class. {@link ClassScheduler} serves urgent classes first and the others
 * by weight, with a share of starts reserved for aged classes. Within a class each workspace gets the same share. A
 * request that is not expected to start before its deadline and within its longest wait is refused on arrival. If the
 * shared capacity is full, the newest request of the lowest tier below that of the arriving request is shed; for an
 * urgent request also if the queue of its class is full. If there is none, the newest request of the workspace with the
 * most queued requests of the class is shed, provided that it has more of them than the workspace of the arriving
 * request. Each class has one guaranteed slot beyond the shared capacity, so that urgent requests cannot exclude it,
 * however many there are.
 */
public final class DefaultAdmissionController implements AdmissionController {

    private static final int UNAVAILABLE = 503;
    private static final int TIMED_OUT = 504;
    private static final long RETRY_AFTER_MIN_MILLIS = 1_000;
    private static final int DEFAULT_SHARED_CAPACITY = 20_000;

    private final Map<String, ClassQueue> queues = new LinkedHashMap<>();
    private final Map<String, QueueEntry> entries = new HashMap<>();
    private final ClassScheduler scheduler = new ClassScheduler();
    private final AnswerLengthEstimator lengths = new AnswerLengthEstimator();
    private final ServiceRateEstimator rate = new ServiceRateEstimator(lengths);
    private final int sharedCapacity;
    private long nextNumber = 1;

    /** Creates a controller with empty queues and a shared capacity of 20,000 requests. */
    public DefaultAdmissionController() {
        this(DEFAULT_SHARED_CAPACITY);
    }

    /**
     * Creates a controller with empty queues.
     *
     * @param sharedCapacity the maximum number of waiting requests over all classes, beyond one guaranteed slot for
     *     each
     */
    public DefaultAdmissionController(int sharedCapacity) {
        this.sharedCapacity = sharedCapacity;
    }

    @Override
    public OfferResult offer(Ticket ticket) {
        ClassQueue queue = queues.computeIfAbsent(
                ticket.requestClass().name(),
                name -> new ClassQueue(ticket.requestClass().tier()));
        if (ticket.attempted()) {
            add(queue, ticket);
            return new OfferResult.Queued();
        }
        Optional<Refusal> deadlineRefusal = refuseIfDeadlineUnreachable(queue, ticket);
        if (deadlineRefusal.isPresent()) {
            return new OfferResult.Refused(deadlineRefusal.get());
        }
        boolean classFull = queue.size() >= ticket.serviceLevel().queueCapacity();
        if (!classFull && (queue.isEmpty() || usedSharedSlots() < sharedCapacity)) {
            add(queue, ticket);
            return new OfferResult.Queued();
        }
        Optional<RefusedTicket> shed = shedForNewRequest(queue, ticket, classFull);
        if (shed.isEmpty()) {
            return new OfferResult.Refused(refusal(EventCode.QUEUE_FULL, UNAVAILABLE, drainMillis(queue)));
        }
        add(queue, ticket);
        return new OfferResult.Queued(shed);
    }

    /** Returns the number of waiting requests beyond the guaranteed slot of each class. */
    private long usedSharedSlots() {
        long guaranteedSlots =
                queues.values().stream().filter(queue -> !queue.isEmpty()).count();
        return entries.size() - guaranteedSlots;
    }

    private void add(ClassQueue queue, Ticket ticket) {
        double cost = lengths.expectedTokens(ticket.requestClass().name(), ticket.workspace(), 0);
        long number = nextNumber++;
        QueueEntry entry = new QueueEntry(ticket, ticket.attempted() ? number - Long.MAX_VALUE : number, cost);
        queue.add(entry, scheduler.currentVirtualTime(queue));
        entries.put(ticket.id(), entry);
    }

    private Optional<Refusal> refuseIfDeadlineUnreachable(ClassQueue queue, Ticket ticket) {
        double waitMillis = estimatedWaitMillis(queue, ticket);
        double allowedMillis = ticket.expiryMillis() - ticket.arrivalMillis();
        if (waitMillis <= allowedMillis) {
            return Optional.empty();
        }
        return Optional.of(refusal(EventCode.DEADLINE_UNREACHABLE, UNAVAILABLE, (long) (waitMillis - allowedMillis)));
    }

    /** Estimates the queueing time in ms; for an urgent request as if the service ran only urgent requests. */
    private double estimatedWaitMillis(ClassQueue queue, Ticket ticket) {
        if (queue.isEmpty() || !rate.hasEstimate()) {
            return 0;
        }
        double costAhead = queue.queuedCost();
        if (ticket.urgent()) {
            costAhead = queuedCost(Tier.URGENT);
            return rate.expectedMillisUntilNextCompletion() + costAhead / rate.costPerMilli();
        }
        double fairQueueingCost = queue.queuedCostOf(ticket.workspace()) * queue.activeWorkspaces();
        return rate.expectedMillisUntilNextCompletion()
                + Math.min(costAhead, fairQueueingCost) / (rate.costPerMilli() * capacityShareOf(queue));
    }

    private double queuedCost(Tier tier) {
        return queues.values().stream()
                .filter(queue -> queue.tier() == tier)
                .mapToDouble(ClassQueue::queuedCost)
                .sum();
    }

    /**
     * Returns the share of the service's capacity that a non-urgent class gets while the classes that are not empty at
     * present remain backlogged.
     */
    private double capacityShareOf(ClassQueue queue) {
        double weights = queue.weight();
        for (ClassQueue other : queues.values()) {
            if (!other.equals(queue) && !other.isEmpty() && other.tier() != Tier.URGENT) {
                weights += other.weight();
            }
        }
        double remainingShare = Math.max(1.0 / ClassScheduler.RESERVED_START_INTERVAL, 1 - rate.urgentShare());
        return remainingShare * queue.weight() / weights;
    }

    private long drainMillis(ClassQueue queue) {
        if (!rate.hasEstimate()) {
            return RETRY_AFTER_MIN_MILLIS;
        }
        double share = queue.tier() == Tier.URGENT ? 1 : capacityShareOf(queue);
        return (long) (queue.queuedCost() / (rate.costPerMilli() * share));
    }

    private static Refusal refusal(EventCode reason, int httpStatus, long retryAfterMillis) {
        return Refusal.builder(reason, httpStatus)
                .retryAfterMillis(Math.max(RETRY_AFTER_MIN_MILLIS, retryAfterMillis))
                .build();
    }

    private Optional<RefusedTicket> shedForNewRequest(ClassQueue queue, Ticket ticket, boolean classFull) {
        boolean urgent = ticket.urgent();
        Optional<QueueEntry> lowerTierEntry = urgent || !classFull
                ? newestOfLowestTierBelow(ticket.requestClass().tier())
                : Optional.empty();
        if (lowerTierEntry.isPresent()) {
            return lowerTierEntry.map(entry -> shed(entry, EventCode.SHED_FOR_HIGHER_TIER));
        }
        return queue.newestOfLargestWorkspace(ticket.workspace())
                .map(entry -> shed(entry, EventCode.SHED_FOR_FAIR_SHARE));
    }

    private Optional<QueueEntry> newestOfLowestTierBelow(Tier limit) {
        QueueEntry chosen = null;
        Tier chosenTier = limit;
        for (ClassQueue queue : queues.values()) {
            boolean guaranteedSlotOnly = queue.size() <= 1;
            if (guaranteedSlotOnly || queue.tier() == limit || queue.tier().compareTo(chosenTier) < 0) {
                continue;
            }
            Optional<QueueEntry> newest = queue.newestSheddable();
            if (newest.isPresent()
                    && (chosen == null
                            || queue.tier() != chosenTier
                            || newest.get().number() > chosen.number())) {
                chosen = newest.get();
                chosenTier = queue.tier();
            }
        }
        return Optional.ofNullable(chosen);
    }

    private RefusedTicket shed(QueueEntry entry, EventCode reason) {
        ClassQueue queue = queueOf(entry.ticket());
        queue.remove(entry);
        entries.remove(entry.ticket().id());
        return new RefusedTicket(entry.ticket(), refusal(reason, UNAVAILABLE, drainMillis(queue)));
    }

    private ClassQueue queueOf(Ticket ticket) {
        return queues.get(ticket.requestClass().name());
    }

    @Override
    public Optional<Ticket> poll(long nowMillis) {
        Optional<ClassQueue> next = scheduler.next(queues.values(), nowMillis);
        if (next.isEmpty()) {
            return Optional.empty();
        }
        ClassQueue queue = next.get();
        scheduler.advanceVirtualTime(queue);
        QueueEntry entry = queue.poll(nowMillis);
        entries.remove(entry.ticket().id());
        rate.started(entry, nowMillis);
        return Optional.of(entry.ticket());
    }

    @Override
    public List<RefusedTicket> expire(long nowMillis) {
        List<RefusedTicket> expired = new ArrayList<>();
        for (ClassQueue queue : queues.values()) {
            for (QueueEntry entry : queue.expire(nowMillis)) {
                entries.remove(entry.ticket().id());
                boolean deadline = entry.ticket().deadlineMillis() <= nowMillis;
                EventCode reason = deadline ? EventCode.DEADLINE_PASSED : EventCode.LONGEST_WAIT_PASSED;
                expired.add(new RefusedTicket(entry.ticket(), refusal(reason, TIMED_OUT, drainMillis(queue))));
            }
        }
        return expired;
    }

    @Override
    public boolean cancel(String id) {
        QueueEntry entry = entries.remove(id);
        if (entry == null) {
            return false;
        }
        queueOf(entry.ticket()).remove(entry);
        return true;
    }

    @Override
    public int size() {
        return entries.size();
    }

    @Override
    public boolean canShedForUrgent() {
        return newestOfLowestTierBelow(Tier.URGENT).isPresent();
    }

    @Override
    public void progressed(String id, int tokens) {
        charge(rate.progressed(id, tokens));
    }

    @Override
    public void finished(String id, int tokens, boolean complete, long nowMillis) {
        charge(rate.finished(id, tokens, complete, nowMillis));
    }

    private void charge(ServiceRateEstimator.CostCorrection correction) {
        if (correction != null) {
            queueOf(correction.ticket()).adjustCost(correction.ticket().workspace(), correction.costDifference());
        }
    }
}
