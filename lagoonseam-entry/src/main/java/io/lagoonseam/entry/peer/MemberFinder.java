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
 * Finds the first members to talk to: registers this node on the platform, lists its data centre and exchanges tables
 * with a few of the nodes found. Afterwards two nodes of the data centre list it now and then, to heal cuts and to
 * remove registrations of nodes that are long gone.
 */
final class MemberFinder {

    private static final long RETRY_BASE_MILLIS = 200;
    private static final long RETRY_CAP_MILLIS = 10_000;
    private static final long LIST_INTERVAL_MILLIS = 30_000;
    private static final int CONTACTS = 3;
    private static final int LISTERS = 2;
    private static final int FAILURES_BEFORE_REMOVAL = 10;
    private static final String ROLE = "member-list";

    private final Vertx vertx;
    private final DefaultMemberDirectory directory;
    private final MemberRegistration registration;
    private final List<Member> seeds;
    private final Consumer<Member> learn;
    private final EventSink events;
    private final Random random;
    private final JitteredBackoff backoff;
    private final Map<String, Integer> failuresById = new HashMap<>();
    private volatile boolean running = true;
    private volatile boolean registered;

    MemberFinder(
            Vertx vertx,
            DefaultMemberDirectory directory,
            MemberRegistration registration,
            List<Member> seeds,
            Consumer<Member> learn,
            EventSink events,
            long seed) {
        this.vertx = vertx;
        this.directory = directory;
        this.registration = registration;
        this.seeds = seeds;
        this.learn = learn;
        this.events = events;
        this.random = new Random(seed);
        this.backoff = new JitteredBackoff(RETRY_BASE_MILLIS, RETRY_CAP_MILLIS, random);
    }

    void start() {
        seeds.forEach(this::contact);
        register(0);
        vertx.setPeriodic(LIST_INTERVAL_MILLIS, timer -> {
            if (!running) {
                vertx.cancelTimer(timer);
            } else if (registered && RoleHolders.holds(directory, ROLE, LISTERS)) {
                look(0);
            }
        });
    }

    CompletionStage<Void> stop() {
        running = false;
        return registered
                ? registration.remove(directory.self(), new WriteCondition.Always())
                : CompletableFuture.completedFuture(null);
    }

    void halt() {
        running = false;
    }

    private void register(int attempt) {
        registration.write(directory.self()).thenAccept(written -> {
            if (!running) {
                return;
            }
            if (written) {
                registered = true;
                look(0);
                return;
            }
            if (attempt == 0) {
                events.record(EventCode.REGISTRATION_FAILED, directory.self().nodeId());
            }
            later(attempt, () -> register(attempt + 1));
        });
    }

    private void later(int attempt, Runnable action) {
        vertx.setTimer(backoff.delayMillis(attempt) + 1, timer -> {
            if (running) {
                action.run();
            }
        });
    }

    private void look(int attempt) {
        String dataCentre = directory.self().dataCentre();
        registration.list(dataCentre).thenAccept(result -> {
            if (!running) {
                return;
            }
            if (result instanceof ListResult.Listed listed) {
                contactSome(listed.objects(), attempt);
            } else {
                later(attempt, () -> look(attempt + 1));
            }
        });
    }

    private void contactSome(List<ObjectVersion> objects, int attempt) {
        List<ObjectVersion> unknown = new ArrayList<>(objects);
        unknown.removeIf(object -> isLive(MemberRegistration.nodeId(object)));
        Collections.shuffle(unknown, random);
        List<CompletableFuture<Boolean>> contacts = unknown.stream()
                .limit(CONTACTS)
                .map(object -> contactRegistered(object).toCompletableFuture())
                .toList();
        CompletableFuture.allOf(contacts.toArray(CompletableFuture[]::new)).thenRun(() -> {
            boolean found = contacts.stream().anyMatch(CompletableFuture::join);
            boolean alone = directory.liveMembers().size() <= 1;
            if (running && !found && alone && !unknown.isEmpty()) {
                later(attempt, () -> look(attempt + 1));
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
                noteContact(found.get(), object, answered);
                return answered;
            });
        });
    }

    private CompletionStage<Boolean> contact(Member member) {
        learn.accept(member);
        return directory.exchange(member);
    }

    /** Removes the registration of a node that has not answered for long, unless the node has renewed it. */
    private synchronized void noteContact(Member member, ObjectVersion object, boolean answered) {
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
