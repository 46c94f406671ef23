package io.lagoonseam.bench.experiment.policy;

import io.lagoonseam.core.admission.AdmissionController;
import io.lagoonseam.core.admission.OfferResult;
import io.lagoonseam.core.admission.RefusedTicket;
import io.lagoonseam.core.admission.Ticket;
import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.verdict.Refusal;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * A baseline with a bounded queue for each class and one fixed order of service over all classes. It has no shares, no
 * ageing and no estimates of answer lengths.
 */
final class OrderedAdmissionController implements AdmissionController {

    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final TreeSet<Entry> entries;
    private final Map<String, Entry> byId = new HashMap<>();
    private final Map<String, Integer> waitingByClass = new HashMap<>();
    private long nextSequenceNumber;

    private record Entry(Ticket ticket, long sequenceNumber) {}

    private OrderedAdmissionController(Comparator<Entry> order) {
        this.entries = new TreeSet<>(order);
    }

    static AdmissionController firstInFirstOut() {
        return new OrderedAdmissionController(Comparator.comparingLong(Entry::sequenceNumber));
    }

    static AdmissionController staticPriority() {
        return new OrderedAdmissionController(Comparator.<Entry>comparingInt(
                        entry -> entry.ticket().requestClass().tier().ordinal())
                .thenComparingLong(Entry::sequenceNumber));
    }

    @Override
    public OfferResult offer(Ticket ticket) {
        String className = ticket.requestClass().name();
        if (waitingByClass.getOrDefault(className, 0) >= ticket.serviceLevel().queueCapacity()) {
            return new OfferResult.Refused(refusal(EventCode.QUEUE_FULL, 503));
        }
        Entry entry = new Entry(ticket, nextSequenceNumber++);
        entries.add(entry);
        byId.put(ticket.id(), entry);
        waitingByClass.merge(className, 1, Integer::sum);
        return new OfferResult.Queued();
    }

    private static Refusal refusal(EventCode reason, int httpStatus) {
        return Refusal.builder(reason, httpStatus)
                .retryAfterMillis(RETRY_AFTER_MILLIS)
                .build();
    }

    private void remove(Entry entry) {
        entries.remove(entry);
        byId.remove(entry.ticket().id());
        waitingByClass.merge(entry.ticket().requestClass().name(), -1, Integer::sum);
    }

    @Override
    public Optional<Ticket> poll(long nowMillis) {
        if (entries.isEmpty()) {
            return Optional.empty();
        }
        Entry first = entries.first();
        remove(first);
        return Optional.of(first.ticket());
    }

    @Override
    public List<RefusedTicket> expire(long nowMillis) {
        List<Entry> expired = entries.stream()
                .filter(entry -> entry.ticket().deadlineMillis() <= nowMillis)
                .toList();
        List<RefusedTicket> shed = new ArrayList<>();
        for (Entry entry : expired) {
            remove(entry);
            shed.add(new RefusedTicket(entry.ticket(), refusal(EventCode.DEADLINE_PASSED, 504)));
        }
        return shed;
    }

    @Override
    public boolean cancel(String id) {
        Entry entry = byId.get(id);
        if (entry == null) {
            return false;
        }
        remove(entry);
        return true;
    }

    @Override
    public int size() {
        return entries.size();
    }
}
