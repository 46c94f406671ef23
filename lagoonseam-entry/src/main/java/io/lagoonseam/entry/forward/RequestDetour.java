package io.lagoonseam.entry.forward;

import io.lagoonseam.core.forward.Route;
import io.lagoonseam.wire.DetourMessages.RouteTerms;
import io.lagoonseam.wire.DetourMessages.Terms;
import io.vertx.core.MultiMap;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;

/**
 * Sends one request through other nodes while this one is cut off from the workers. The other node gets what was
 * decided here, so that the request is handled by one configuration.
 */
final class RequestDetour {

    private final ForwardDispatcher dispatcher;
    private final ForwardProtocol protocol;
    private final AdmittedRequest admitted;
    private final RequestSource source;
    private final Set<String> triedPeers = new HashSet<>();
    private boolean countedHere;

    /**
     * The progress of the request that the other node has to know.
     *
     * @param ageMillis the time since it arrived, in milliseconds
     * @param remainingMillis the time until its deadline, in milliseconds
     * @param attemptsLeft the number of workers that may still run it
     * @param softwareVersion the software version that began the stream, empty before the first event
     * @param lastEventId the id of the last event that the caller has received
     * @param triedWorkers the workers that have been tried
     * @param letThrough whether the quarantine has let it through
     */
    record Progress(
            long ageMillis,
            long remainingMillis,
            int attemptsLeft,
            String softwareVersion,
            String lastEventId,
            Set<String> triedWorkers,
            boolean letThrough) {}

    RequestDetour(
            ForwardDispatcher dispatcher, ForwardProtocol protocol, AdmittedRequest admitted, RequestSource source) {
        this.dispatcher = dispatcher;
        this.protocol = protocol;
        this.admitted = admitted;
        this.source = source;
    }

    /** Counts the request for the retry budget of its service if it is for this node to count it. */
    void count() {
        if (source.counts()) {
            countedHere = true;
            dispatcher.countRequest(admitted.service());
        }
    }

    /** Returns whether this node reaches no worker of the service, so that the request has to go through another. */
    boolean needed() {
        return source.mayDetour() && dispatcher.reach().cutOff(admitted.service());
    }

    /** Returns whether another node has sent the request and has to be told that this one is cut off too. */
    boolean deadEnd() {
        return !source.mayDetour() && dispatcher.reach().cutOff(admitted.service());
    }

    /** Finds a node that has not been tried. */
    CompletionStage<Optional<String>> find() {
        return dispatcher.detours().find(admitted.service(), triedPeers);
    }

    /** Returns the target of an attempt through a node. */
    PeerTarget target(String peer) {
        triedPeers.add(peer);
        return dispatcher.detours().target(admitted.service(), peer);
    }

    /** Returns the headers of the request to a node. */
    MultiMap headers(MultiMap callerHeaders, Progress progress) {
        Route route = admitted.route();
        MultiMap headers = protocol.peerHeaders(callerHeaders);
        DetourHeader.write(
                headers,
                new Terms(
                        new RouteTerms(
                                route.name(),
                                route.kind().ordinal(),
                                route.timeoutMillis(),
                                route.objectiveMillis(),
                                route.gapObjectiveMillis(),
                                progress.attemptsLeft(),
                                admitted.lane().ordinal(),
                                admitted.homeLane().ordinal()),
                        admitted.service(),
                        admitted.workspace(),
                        admitted.priority(),
                        progress.ageMillis(),
                        progress.remainingMillis(),
                        admitted.stream().requestId(),
                        progress.softwareVersion(),
                        progress.lastEventId(),
                        List.copyOf(progress.triedWorkers()),
                        progress.letThrough(),
                        countedHere));
        return headers;
    }

    /** The request is about to be sent to a node, which counts it from now on. */
    void sending() {
        if (countedHere) {
            countedHere = false;
            dispatcher.uncountRequest(admitted.service());
        }
    }

    /** The node has not taken the request, and has not counted it. */
    void notTaken() {
        if (!countedHere && source.counts()) {
            count();
        }
    }
}
