package io.lagoonseam.entry.forward;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.forward.Lane;
import io.lagoonseam.core.forward.Route;
import io.lagoonseam.core.forward.WeightedService;
import io.lagoonseam.core.forward.WorkKind;
import io.lagoonseam.core.reach.DetourAdmission;
import io.lagoonseam.core.resume.StreamKey;
import io.lagoonseam.wire.DetourMessages;
import io.lagoonseam.wire.DetourMessages.Outcome;
import io.lagoonseam.wire.DetourMessages.RouteTerms;
import io.lagoonseam.wire.DetourMessages.Terms;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import java.util.Optional;

/**
 * Takes requests of nodes that are cut off from workers, and sends them to workers like those of this node's own
 * callers. A request is never sent through another node again. Each connection carries one request.
 */
final class DetourServer {

    private static final int BAD_REQUEST = 400;
    private static final int SERVICE_UNAVAILABLE = 503;

    /** Largest header section, in bytes: that of a caller, and what the other node adds. */
    private static final int MAX_HEADER_BYTES = 80_000;

    private static final int ACCEPT_BACKLOG = 1_024;

    /** The share of the memory of a node that the bodies of requests of other nodes may occupy. */
    private static final double BODY_MEMORY_SHARE = 0.05;

    /** The share of the descriptors of a node that requests of other nodes may use, each two of them. */
    private static final double DESCRIPTOR_SHARE = 0.15;

    /** The interval at which the delay of the event loop is measured while requests are in flight, in milliseconds. */
    private static final long LAG_INTERVAL_MILLIS = 50;

    /** The weight of one measurement of the delay. */
    private static final double LAG_WEIGHT = 0.3;

    private final ForwardEnvironment environment;
    private final ForwardDispatcher dispatcher;
    private final RequestMetrics metrics;
    private final DetourAdmission admission;
    private int connections;
    private boolean measuring;
    private double lagMillis;
    private boolean stopping;

    DetourServer(ForwardEnvironment environment, ForwardDispatcher dispatcher, RequestMetrics metrics) {
        this.environment = environment;
        this.dispatcher = dispatcher;
        this.metrics = metrics;
        NodeSettings.Resources resources = environment.settings().resources();
        this.admission = new DetourAdmission(
                (int) (DESCRIPTOR_SHARE * resources.maxDescriptors() / 2),
                Math.round(BODY_MEMORY_SHARE * resources.memoryMegabytes() * (1 << 20)));
    }

    Future<Void> start() {
        HttpServerOptions options = new HttpServerOptions()
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setHttp2ClearTextEnabled(false)
                .setPerFrameWebSocketCompressionSupported(false)
                .setPerMessageWebSocketCompressionSupported(false)
                .setTcpNoDelay(true)
                .setReuseAddress(true)
                .setAcceptBacklog(ACCEPT_BACKLOG);
        return environment
                .vertx()
                .createHttpServer(options)
                .connectionHandler(connection -> {
                    StrictFraming.enforce(connection, options);
                    connections++;
                    connection.closeHandler(nothing -> connections--);
                })
                .requestHandler(this::onRequest)
                .listen(
                        environment.settings().detours().port(),
                        environment.settings().detours().host())
                .mapEmpty();
    }

    /** Takes no more requests; those in flight are finished. */
    void beginStop() {
        stopping = true;
    }

    boolean stopping() {
        return stopping;
    }

    /** Returns whether all connections of other nodes have been closed. */
    boolean drained() {
        return connections == 0;
    }

    /** Returns the number of requests of other nodes in flight. */
    int inFlight() {
        return admission.inFlight();
    }

    private long nowMillis() {
        return environment.time().monotonicMillis();
    }

    private void onRequest(HttpServerRequest request) {
        long arrivedMillis = nowMillis();
        request.response().putHeader("Connection", "close");
        request.response().endHandler(nothing -> request.connection().close());
        request.body().onSuccess(body -> onRead(request, body, arrivedMillis));
    }

    private void onRead(HttpServerRequest request, Buffer body, long arrivedMillis) {
        Optional<Terms> terms = DetourHeader.terms(request.headers());
        if (terms.isEmpty() || !usable(terms.get())) {
            environment
                    .events()
                    .record(EventCode.DETOUR_MALFORMED, request.remoteAddress() + ": no usable terms of a request");
            request.response().setStatusCode(BAD_REQUEST).end();
            return;
        }
        if (stopping || !admission.tryBegin(terms.get().priority(), body.length(), lagMillis)) {
            refuse(request, stopping ? "this node is stopping" : "this node takes no more requests of others");
            return;
        }
        measureLag();
        new ForwardedRequest(
                        environment,
                        dispatcher,
                        metrics,
                        admitted(terms.get(), request.headers()),
                        new PeerSource(terms.get()),
                        request,
                        body,
                        arrivedMillis - terms.get().ageMillis(),
                        () -> admission.ended(body.length()))
                .start();
    }

    private static boolean usable(Terms terms) {
        RouteTerms route = terms.route();
        return route.kind() >= 0
                && route.kind() < WorkKind.values().length
                && route.lane() >= 0
                && route.lane() < Lane.values().length
                && route.homeLane() >= 0
                && route.homeLane() < Lane.values().length
                && terms.priority() >= 0
                && terms.ageMillis() >= 0
                && terms.remainingMillis() > 0;
    }

    private void refuse(HttpServerRequest request, String reason) {
        CallerRequestHeaders callerHeaders = environment.protocol().parseCallerHeaders(request.headers());
        request.response().setStatusCode(SERVICE_UNAVAILABLE);
        environment.protocol().addNodeHeaders(request.response().headers(), callerHeaders.requestId(), 0);
        DetourHeader.write(
                request.response().headers(), new Outcome(DetourMessages.Result.NOT_TAKEN, 0, 0, "", reason));
        request.response().end();
    }

    private AdmittedRequest admitted(Terms terms, MultiMap headers) {
        CallerRequestHeaders sent = environment.protocol().parseCallerHeaders(headers);
        CallerRequestHeaders callerHeaders = new CallerRequestHeaders(
                sent.requestId(),
                "",
                terms.ageMillis() + terms.remainingMillis(),
                sent.prompt(),
                sent.sharedParts(),
                sent.answerTokens(),
                terms.lastEventId(),
                sent.resumedRequestId());
        RouteTerms decided = terms.route();
        Route route = new Route(
                decided.name(),
                "",
                "/",
                WorkKind.values()[decided.kind()],
                decided.timeoutMillis(),
                decided.objectiveMillis(),
                decided.gapObjectiveMillis(),
                terms.priority(),
                List.of(new WeightedService(terms.service(), 1)),
                Math.max(1, decided.attemptsLeft()),
                true);
        return new AdmittedRequest(
                callerHeaders,
                route,
                Lane.values()[decided.lane()],
                Lane.values()[decided.homeLane()],
                terms.service(),
                terms.workspace(),
                new StreamKey(terms.workspace(), terms.streamRequestId()),
                terms.softwareVersion(),
                terms.priority(),
                dispatcher.rank(terms.priority(), decided.name()));
    }

    /** Measures the delay of the event loop again and again until no request is in flight. */
    private void measureLag() {
        if (measuring) {
            return;
        }
        measuring = true;
        long dueMillis = nowMillis() + LAG_INTERVAL_MILLIS;
        environment.vertx().setTimer(LAG_INTERVAL_MILLIS, timer -> {
            measuring = false;
            lagMillis += LAG_WEIGHT * (Math.max(0, nowMillis() - dueMillis) - lagMillis);
            if (admission.inFlight() > 0) {
                measureLag();
            } else {
                lagMillis = 0;
            }
        });
    }
}
