package io.lagoonseam.entry.forward;

import io.lagoonseam.core.forward.UpstreamRecord;
import io.lagoonseam.core.hash.Rendezvous;
import io.lagoonseam.core.quarantine.Quarantine;
import io.lagoonseam.core.quarantine.Suspect;
import io.lagoonseam.core.time.TimeSource;
import io.vertx.core.http.HttpServerRequest;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.stream.Collectors;

/** Decides for one request whether the quarantine lets it through, and reports what becomes of it. */
final class QuarantineGate {

    /** When a request in quarantine may come again, in milliseconds: hardly any is let through sooner. */
    static final long RETRY_AFTER_MILLIS = 60_000;

    private final Quarantine quarantine;
    private final Map<Suspect, String> names = new LinkedHashMap<>();
    private final long caller;
    private final Set<Suspect> tried = new HashSet<>();
    private final long digest;
    private final CrashCheck crashCheck;
    private final TimeSource time;
    private UpstreamRecord worker;
    private long sentMillis;
    private boolean answerBegun;
    private long answerBeganMillis;

    QuarantineGate(
            Quarantine quarantine,
            CrashCheck crashCheck,
            TimeSource time,
            AdmittedRequest admitted,
            HttpServerRequest request,
            RequestBody body) {
        this.quarantine = quarantine;
        this.crashCheck = crashCheck;
        this.time = time;
        this.caller = Rendezvous.hash(admitted.workspace());
        this.digest =
                quarantine.key().digest(request.authority().host(), request.uri(), admitted.workspace(), body.parts());
        names.put(Suspect.request(digest), "this path, caller and body");
        admitted.callerHeaders()
                .sharedParts()
                .forEach(part -> names.put(Suspect.promptPart(part), "the prompt part " + part));
    }

    /** Returns the digest of the request, which is the same for equal requests of the same caller. */
    long digest() {
        return digest;
    }

    private Set<Suspect> inForce() {
        Set<Suspect> found = new HashSet<>(quarantine.inForce(names.keySet()));
        found.removeAll(tried);
        return found;
    }

    /** Returns whether the request may be sent now. */
    boolean passes() {
        return inForce().isEmpty();
    }

    /** Returns whether the request may be sent again: not one that was let through, whose answer is awaited. */
    boolean mayRetry() {
        return tried.isEmpty() && passes();
    }

    /**
     * Asks for a request that has not been sent to be let through.
     *
     * @return whether it may be sent once
     */
    CompletionStage<Boolean> tryOnce() {
        Set<Suspect> found = inForce();
        return quarantine.tryOnce(found, caller).thenApply(allowed -> {
            if (allowed) {
                tried.addAll(found);
            }
            return allowed;
        });
    }

    /** Another node has asked for the request to be let through. */
    void letThroughElsewhere() {
        tried.addAll(inForce());
    }

    /** Returns whether the quarantine has let the request through for this attempt. */
    boolean letThrough() {
        return !tried.isEmpty();
    }

    /** Ends the permission of {@link #tryOnce}, which is for one attempt. */
    void endTry() {
        tried.clear();
    }

    /** Returns why the request is not sent. */
    String reason() {
        return "workers crashed repeatedly under requests with "
                + inForce().stream().map(names::get).sorted().collect(Collectors.joining(", "));
    }

    /** An attempt at a worker begins. */
    void sending(UpstreamRecord to) {
        worker = to;
        sentMillis = time.monotonicMillis();
        answerBegun = false;
    }

    /** The worker of the attempt has begun to write its answer. */
    void answerBegan() {
        if (!answerBegun) {
            answerBegun = true;
            answerBeganMillis = time.monotonicMillis();
        }
    }

    /** Returns whether the worker of the attempt has not begun to write its answer. */
    boolean awaitsAnswer() {
        return !answerBegun;
    }

    /** The attempt has broken off, so that the worker may have crashed. */
    void brokeOff() {
        check(() -> {});
    }

    /**
     * The attempt has ended with a success.
     *
     * @param framed whether the framing has shown that the answer is whole; otherwise the worker may have crashed
     */
    void answered(boolean framed) {
        long beganMillis = answerBegun ? answerBeganMillis : sentMillis;
        if (framed) {
            quarantine.answered(names.keySet(), beganMillis);
        } else {
            check(() -> quarantine.answered(names.keySet(), beganMillis));
        }
    }

    private void check(Runnable onSound) {
        UpstreamRecord checked = worker;
        long checkedSentMillis = sentMillis;
        crashCheck.crashed(checked).onSuccess(crashed -> {
            if (crashed) {
                quarantine.crashed(names.keySet(), caller, checked.incarnation(), checkedSentMillis);
            } else {
                onSound.run();
            }
        });
    }
}
