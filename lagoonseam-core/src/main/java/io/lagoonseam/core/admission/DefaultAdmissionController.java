package io.lagoonseam.core.admission;

import io.lagoonseam.core.admission.internal.ClassQueue;
import io.lagoonseam.core.admission.internal.ClassSchedule;
import io.lagoonseam.core.admission.internal.QueueEntry;
import io.lagoonseam.core.admission.internal.ServicePace;
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
 * Bounded queues for each class, served by {@link ClassSchedule}: urgent first, then shares by weight, with a reserved
 * share of starts for classes that were not served for long. Within a class each workspace gets the same share. A
 * request that cannot begin in time is refused when it arrives. An urgent request takes the place of the newest request
 * of the lowest tier when its queue or the whole is full. Each class has one place of its own beyond the shared bound,
 * so that no number of urgent requests keeps it out.
 */
public final class DefaultAdmissionController implements AdmissionController {

    private static final int UNAVAILABLE = 503;
    private static final int TIMED_OUT = 504;
    private static final long RETRY_AFTER_MIN_MILLIS = 1_000;
    private static final int DEFAULT_SHARED_CAPACITY = 20_000;

    private final Map<String, ClassQueue> queues = new LinkedHashMap<>();
    private final Map<String, QueueEntry> entries = new HashMap<>();
    private final ClassSchedule schedule = new ClassSchedule();
    private final AnswerLengthEstimator lengths = new AnswerLengthEstimator();
    private final ServicePace pace = new ServicePace(lengths);
    private final int sharedCapacity;
    private long nextNumber = 1;

    /** Creates empty queues with the usual bound over all classes. */
    public DefaultAdmissionController() {
        this(DEFAULT_SHARED_CAPACITY);
    }

    /**
     * Creates empty queues.
     *
     * @param sharedCapacity the most requests that wait over all classes, beyond one of each
     */
    public DefaultAdmissionController(int sharedCapacity) {
        this.sharedCapacity = sharedCapacity;
    }

    @Override
    public OfferResult offer(Ticket ticket) {
        ClassQueue queue = queues.computeIfAbsent(
                ticket.requestClass().name(),
                name -> new ClassQueue(ticket.requestClass().tier()));
        if (ticket.begun()) {
            add(queue, ticket);
            return new OfferResult.Queued();
        }
        Optional<Refusal> tooLate = refusalOfLate(queue, ticket);
        if (tooLate.isPresent()) {
            return new OfferResult.Refused(tooLate.get());
        }
        boolean classFull = queue.size() >= ticket.serviceLevel().queueCapacity();
        if (!classFull && (queue.isEmpty() || sharedPlacesTaken() < sharedCapacity)) {
            add(queue, ticket);
            return new OfferResult.Queued();
        }
        Optional<ShedTicket> displaced = displace(queue, ticket, classFull);
        if (displaced.isEmpty()) {
            return new OfferResult.Refused(refusal(EventCode.QUEUE_FULL, UNAVAILABLE, drainMillis(queue)));
        }
        add(queue, ticket);
        return new OfferResult.Queued(displaced);
    }

    /** The places taken beyond the one that each class has of its own. */
    private long sharedPlacesTaken() {
        long ownPlaces =
                queues.values().stream().filter(queue -> !queue.isEmpty()).count();
        return entries.size() - ownPlaces;
    }

    private void add(ClassQueue queue, Ticket ticket) {
        double cost = lengths.expectedTokens(ticket.requestClass().name(), ticket.workspace(), 0);
        long number = nextNumber++;
        QueueEntry entry = new QueueEntry(ticket, ticket.begun() ? number - Long.MAX_VALUE : number, cost);
        queue.add(entry, schedule.entryVirtualTime(queue));
        entries.put(ticket.id(), entry);
    }

    private Optional<Refusal> refusalOfLate(ClassQueue queue, Ticket ticket) {
        double waitMillis = estimatedWaitMillis(queue, ticket);
        double allowedMillis = ticket.expiryMillis() - ticket.arrivalMillis();
        if (waitMillis <= allowedMillis) {
            return Optional.empty();
        }
        return Optional.of(refusal(EventCode.DEADLINE_UNREACHABLE, UNAVAILABLE, (long) (waitMillis - allowedMillis)));
    }

    /** Estimates the wait; for an urgent request as if the service worked for its tier alone. */
    private double estimatedWaitMillis(ClassQueue queue, Ticket ticket) {
        if (queue.isEmpty() || !pace.known()) {
            return 0;
        }
        double ahead = queue.queuedCost();
        if (ticket.urgent()) {
            ahead = queuedCost(Tier.URGENT);
            return pace.untilNextEndMillis() + ahead / pace.costPerMilli();
        }
        double turns = queue.queuedCostOf(ticket.workspace()) * queue.activeWorkspaces();
        return pace.untilNextEndMillis() + Math.min(ahead, turns) / (pace.costPerMilli() * shareOf(queue));
    }

    private double queuedCost(Tier tier) {
        return queues.values().stream()
                .filter(queue -> queue.tier() == tier)
                .mapToDouble(ClassQueue::queuedCost)
                .sum();
    }

    /** The share of the service's work that a class below the urgent tier gets while all that wait go on waiting. */
    private double shareOf(ClassQueue queue) {
        double weights = queue.weight();
        for (ClassQueue other : queues.values()) {
            if (!other.equals(queue) && !other.isEmpty() && other.tier() != Tier.URGENT) {
                weights += other.weight();
            }
        }
        double left = Math.max(1.0 / ClassSchedule.RESERVED_ONE_IN, 1 - pace.urgentShare());
        return left * queue.weight() / weights;
    }

    private long drainMillis(ClassQueue queue) {
        if (!pace.known()) {
            return RETRY_AFTER_MIN_MILLIS;
        }
        double share = queue.tier() == Tier.URGENT ? 1 : shareOf(queue);
        return (long) (queue.queuedCost() / (pace.costPerMilli() * share));
    }

    private static Refusal refusal(EventCode reason, int httpStatus, long retryAfterMillis) {
        return Refusal.builder(reason, httpStatus)
                .retryAfterMillis(Math.max(RETRY_AFTER_MIN_MILLIS, retryAfterMillis))
                .build();
    }

    private Optional<ShedTicket> displace(ClassQueue queue, Ticket ticket, boolean classFull) {
        boolean urgent = ticket.urgent();
        Optional<QueueEntry> lower =
                urgent || !classFull ? newestOfLowestTier(ticket.requestClass().tier()) : Optional.empty();
        if (lower.isPresent()) {
            return lower.map(entry -> shed(entry, EventCode.SHED_FOR_HIGHER_TIER));
        }
        return queue.newestOfLargest(ticket.workspace()).map(entry -> shed(entry, EventCode.SHED_FOR_FAIR_SHARE));
    }

    private Optional<QueueEntry> newestOfLowestTier(Tier above) {
        QueueEntry chosen = null;
        Tier chosenTier = above;
        for (ClassQueue queue : queues.values()) {
            boolean ownPlaceOnly = queue.size() <= 1;
            if (ownPlaceOnly || queue.tier() == above || queue.tier().compareTo(chosenTier) < 0) {
                continue;
            }
            Optional<QueueEntry> newest = queue.newest();
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

    private ShedTicket shed(QueueEntry entry, EventCode reason) {
        ClassQueue queue = queueOf(entry.ticket());
        queue.remove(entry);
        entries.remove(entry.ticket().id());
        return new ShedTicket(entry.ticket(), refusal(reason, UNAVAILABLE, drainMillis(queue)));
    }

    private ClassQueue queueOf(Ticket ticket) {
        return queues.get(ticket.requestClass().name());
    }

    @Override
    public Optional<Ticket> poll(long nowMillis) {
        Optional<ClassQueue> next = schedule.next(queues.values(), nowMillis);
        if (next.isEmpty()) {
            return Optional.empty();
        }
        ClassQueue queue = next.get();
        schedule.serving(queue);
        QueueEntry entry = queue.poll(nowMillis);
        entries.remove(entry.ticket().id());
        pace.started(entry, nowMillis);
        return Optional.of(entry.ticket());
    }

    @Override
    public List<ShedTicket> expire(long nowMillis) {
        List<ShedTicket> expired = new ArrayList<>();
        for (ClassQueue queue : queues.values()) {
            for (QueueEntry entry : queue.expire(nowMillis)) {
                entries.remove(entry.ticket().id());
                boolean deadline = entry.ticket().deadlineMillis() <= nowMillis;
                EventCode reason = deadline ? EventCode.DEADLINE_PASSED : EventCode.LONGEST_WAIT_PASSED;
                expired.add(new ShedTicket(entry.ticket(), refusal(reason, TIMED_OUT, drainMillis(queue))));
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
    public boolean hasPlaceForUrgent() {
        return newestOfLowestTier(Tier.URGENT).isPresent();
    }

    @Override
    public void progressed(String id, int tokens) {
        charge(pace.progressed(id, tokens));
    }

    @Override
    public void finished(String id, int tokens, boolean whole, long nowMillis) {
        charge(pace.finished(id, tokens, whole, nowMillis));
    }

    private void charge(ServicePace.Correction correction) {
        if (correction != null) {
            queueOf(correction.ticket()).correct(correction.ticket().workspace(), correction.costDifference());
        }
    }
}
