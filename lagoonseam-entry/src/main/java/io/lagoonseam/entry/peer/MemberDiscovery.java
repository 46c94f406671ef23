package io.lagoonseam.entry.peer;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.audit.EventSink;
import io.lagoonseam.core.membership.DefaultMemberDirectory;
import io.lagoonseam.core.membership.Member;
import io.lagoonseam.core.membership.MemberState;
import io.lagoonseam.core.membership.RoleHolders;
import io.lagoonseam.core.platform.ListResult;
import io.lagoonseam.core.platform.ObjectVersion;
import io.lagoonseam.core.platform.WriteCondition;
import io.lagoonseam.core.retry.JitteredBackoff;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

/**
 * Discovers the initial members: registers this node on the platform, lists the registrations of its data centre and
 * exchanges member tables with up to three of the nodes found. Afterwards two nodes of the data centre repeat the
 * listing every 30 s, to reconnect members after a network partition and to remove registrations of nodes that ten
 * contacts in a row did not reach.
 */
final class MemberDiscovery {

    private static final long RETRY_BASE_MILLIS = 200;
    private static final long RETRY_CAP_MILLIS = 10_000;
    private static final long LIST_INTERVAL_MILLIS = 30_000;
    private static final int CONTACTS_PER_LISTING = 3;
    private static final int LISTER_COUNT = 2;
    private static final int FAILURES_BEFORE_REMOVAL = 10;
    private static final String LISTER_ROLE = "member-list";

    private final Vertx vertx;
    private final DefaultMemberDirectory directory;
    private final MemberRegistration registration;
    private final List<Member> seeds;
    private final Consumer<Member> addressRecorder;
    private final EventSink events;
    private final Random random;
    private final JitteredBackoff backoff;
    private final Map<String, Integer> failuresById = new HashMap<>();
    private volatile boolean running = true;
    private volatile boolean registered;

    MemberDiscovery(
            Vertx vertx,
            DefaultMemberDirectory directory,
            MemberRegistration registration,
            List<Member> seeds,
            Consumer<Member> addressRecorder,
            EventSink events,
            long seed) {
        this.vertx = vertx;
        this.directory = directory;
        this.registration = registration;
        this.seeds = seeds;
        this.addressRecorder = addressRecorder;
        this.events = events;
        this.random = new Random(seed);
        this.backoff = new JitteredBackoff(RETRY_BASE_MILLIS, RETRY_CAP_MILLIS, random);
    }

    /** Contacts the seed nodes, registers this node and starts the periodic listing. */
    void start() {
        seeds.forEach(this::contact);
        register(0);
        vertx.setPeriodic(LIST_INTERVAL_MILLIS, timer -> {
            if (!running) {
                vertx.cancelTimer(timer);
            } else if (registered && RoleHolders.holds(directory, LISTER_ROLE, LISTER_COUNT)) {
                listDataCentre(0);
            }
        });
    }

    /** Stops the timers and retries and removes this node's registration. */
    CompletionStage<Void> stop() {
        running = false;
        return registered
                ? registration.remove(directory.self(), new WriteCondition.Always())
                : CompletableFuture.completedFuture(null);
    }

    /** Stops the timers and retries without removing the registration. */
    void halt() {
        running = false;
    }

    /** Writes this node's registration and retries with backoff until it succeeds. */
    private void register(int attempt) {
        registration.write(directory.self()).thenAccept(written -> {
            if (!running) {
                return;
            }
            if (written) {
                registered = true;
                listDataCentre(0);
                return;
            }
            if (attempt == 0) {
                events.record(EventCode.REGISTRATION_FAILED, directory.self().nodeId());
            }
            scheduleRetry(attempt, () -> register(attempt + 1));
        });
    }

    private void scheduleRetry(int attempt, Runnable action) {
        vertx.setTimer(backoff.delayMillis(attempt) + 1, timer -> {
            if (running) {
                action.run();
            }
        });
    }

    /** Lists the registrations of the data centre and contacts nodes that are not live members yet. */
    private void listDataCentre(int attempt) {
        String dataCentre = directory.self().dataCentre();
        registration.list(dataCentre).thenAccept(result -> {
            if (!running) {
                return;
            }
            if (result instanceof ListResult.Listed listed) {
                contactUnknown(listed.objects(), attempt);
            } else {
                scheduleRetry(attempt, () -> listDataCentre(attempt + 1));
            }
        });
    }

    /**
     * Contacts randomly chosen registered nodes that are not live members; retries with backoff while no contact
     * succeeds and this node has no other live member.
     */
    private void contactUnknown(List<ObjectVersion> objects, int attempt) {
        List<ObjectVersion> candidates = new ArrayList<>(objects);
        candidates.removeIf(object -> isLive(MemberRegistration.nodeId(object)));
        Collections.shuffle(candidates, random);
        List<CompletableFuture<Boolean>> contacts = candidates.stream()
                .limit(CONTACTS_PER_LISTING)
                .map(object -> contactRegistered(object).toCompletableFuture())
                .toList();
        CompletableFuture.allOf(contacts.toArray(CompletableFuture[]::new)).thenRun(() -> {
            boolean found = contacts.stream().anyMatch(CompletableFuture::join);
            boolean alone = directory.liveMembers().size() <= 1;
            if (running && !found && alone && !candidates.isEmpty()) {
                scheduleRetry(attempt, () -> listDataCentre(attempt + 1));
            }
        });
    }

    private boolean isLive(String nodeId) {
        return directory
                .find(nodeId)
                .filter(member -> member.state() != MemberState.DEAD)
                .isPresent();
    }

    private CompletionStage<Boolean> contactRegistered(ObjectVersion object) {
        String nodeId = MemberRegistration.nodeId(object);
        String dataCentre = directory.self().dataCentre();
        return registration.read(dataCentre, nodeId).thenCompose(found -> {
            if (found.isEmpty()) {
                return CompletableFuture.completedFuture(false);
            }
            return contact(found.get()).thenApply(answered -> {
                recordContact(found.get(), object, answered);
                return answered;
            });
        });
    }

    private CompletionStage<Boolean> contact(Member member) {
        addressRecorder.accept(member);
        return directory.exchange(member);
    }

    /**
     * Records the result of a contact and, after ten failures in a row, removes the registration of a node that is
     * unknown or dead. The removal is conditional on the listed version, so a renewed registration is kept.
     */
    private synchronized void recordContact(Member member, ObjectVersion object, boolean answered) {
        int failures = answered ? 0 : failuresById.merge(member.nodeId(), 1, Integer::sum);
        if (answered || failures >= FAILURES_BEFORE_REMOVAL) {
            failuresById.remove(member.nodeId());
        }
        Optional<Member> known = directory.find(member.nodeId());
        boolean gone = known.isEmpty() || known.get().state() == MemberState.DEAD;
        if (failures >= FAILURES_BEFORE_REMOVAL && gone) {
            registration.remove(member, new WriteCondition.IfVersion(object.version()));
        }
    }
}
