package io.lagoonseam.core.admission;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.configuration.Tier;
import io.lagoonseam.core.verdict.Refusal;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A bounded queue for each class. The urgent tier is served first; below it, the class whose oldest request has used
 * the largest part of its longest wait, scaled by weight, goes next. A request that is about to exceed its longest wait
 * goes before all others.
 */
public final class DefaultAdmissionController implements AdmissionController {

    private static final long RETRY_AFTER_FULL_MILLIS = 1_000;

    /** The part of the longest wait at which a request goes before the urgent tier. */
    private static final double AGED_SHARE = 0.5;

    private final Map<String, Deque<Ticket>> queues = new LinkedHashMap<>();

    @Override
    public OfferResult offer(Ticket ticket) {
        Deque<Ticket> queue = queues.computeIfAbsent(ticket.requestClass().name(), name -> new ArrayDeque<>());
        if (queue.size() >= ticket.serviceLevel().queueCapacity()) {
            return new OfferResult.Refused(Refusal.builder(EventCode.QUEUE_FULL, 503)
                    .retryAfterMillis(RETRY_AFTER_FULL_MILLIS)
                    .build());
        }
        queue.addLast(ticket);
        return new OfferResult.Queued();
    }

    @Override
    public Optional<Ticket> poll(long nowMillis) {
        Deque<Ticket> best = null;
        double bestUrgency = Double.NEGATIVE_INFINITY;
        for (Deque<Ticket> queue : queues.values()) {
            double urgency = queue.isEmpty() ? Double.NEGATIVE_INFINITY : urgency(queue.peekFirst(), nowMillis);
            if (urgency > bestUrgency) {
                best = queue;
                bestUrgency = urgency;
            }
        }
        return best == null ? Optional.empty() : Optional.ofNullable(best.pollFirst());
    }

    private static double urgency(Ticket ticket, long nowMillis) {
        double waited = nowMillis - ticket.arrivalMillis();
        double usedShare = waited / ticket.serviceLevel().longestWaitMillis();
        if (usedShare >= AGED_SHARE) {
            return 2 + usedShare;
        }
        if (ticket.requestClass().tier() == Tier.URGENT) {
            return 1 + usedShare;
        }
        return usedShare
                * ticket.serviceLevel().weight()
                / (1.0 + ticket.serviceLevel().weight());
    }

    @Override
    public List<ShedTicket> expire(long nowMillis) {
        List<ShedTicket> expired = new ArrayList<>();
        for (Deque<Ticket> queue : queues.values()) {
            queue.removeIf(ticket -> {
                if (ticket.deadlineMillis() > nowMillis) {
                    return false;
                }
                expired.add(new ShedTicket(
                        ticket,
                        Refusal.builder(EventCode.DEADLINE_PASSED, 504)
                                .retryAfterMillis(RETRY_AFTER_FULL_MILLIS)
                                .build()));
                return true;
            });
        }
        return expired;
    }

    @Override
    public boolean cancel(String id) {
        for (Deque<Ticket> queue : queues.values()) {
            if (queue.removeIf(ticket -> ticket.id().equals(id))) {
                return true;
            }
        }
        return false;
    }

    @Override
    public int size() {
        return queues.values().stream().mapToInt(Deque::size).sum();
    }
}
