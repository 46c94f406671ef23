package io.lagoonseam.entry.forward;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.forward.BodyMemory;
import io.lagoonseam.core.forward.CallerLimits;
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

    /** The share of the memory of a node, and of its heap, that the bodies of requests of other nodes may occupy. */
    private static final double BODY_MEMORY_SHARE = 0.05;

    private static final double BODY_HEAP_SHARE = 0.08;

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
    private final BodyMemory bodyMemory;
    private int connections;
    private boolean measuring;
    private double lagMillis;
    private boolean stopping;

    DetourServer(ForwardEnvironment environment, ForwardDispatcher dispatcher, RequestMetrics metrics) {
        this.environment = environment;
        this.dispatcher = dispatcher;
        this.metrics = metrics;
        NodeSettings.Resources resources = environment.settings().resources();
        long bodyBytes = resources.boundBytes(BODY_MEMORY_SHARE, BODY_HEAP_SHARE);
        this.admission = new DetourAdmission((int) (DESCRIPTOR_SHARE * resources.maxDescriptors() / 2), bodyBytes);
        this.bodyMemory = new BodyMemory(bodyBytes, CallerLimits.DEFAULT::bodyBytes);
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
        request.response().putHeader("Connection", "close");
        Optional<Terms> terms = DetourHeader.terms(request.headers());
        if (terms.isEmpty() || !usable(terms.get())) {
            environment
                    .events()
                    .record(EventCode.DETOUR_MALFORMED, request.remoteAddress() + ": no usable terms of a request");
            closeAfterResponse(request);
            request.response().setStatusCode(BAD_REQUEST).end();
            return;
        }
        new SentRequest(request, terms.get()).start();
    }

    private static void closeAfterResponse(HttpServerRequest request) {
        request.response().endHandler(nothing -> request.connection().close());
    }

    /** One request that another node has sent. */
    private final class SentRequest implements BodyReader.Listener {

        private final HttpServerRequest request;
        private final Terms terms;
        private final long arrivedMillis = nowMillis();
        private final BodyReader reader;

        SentRequest(HttpServerRequest request, Terms terms) {
            this.request = request;
            this.terms = terms;
            // the other node has checked the length, and the memory bounds it here
            BodyReader.Limits limits = new BodyReader.Limits(Long.MAX_VALUE, terms.remainingMillis());
            this.reader = new BodyReader(environment, bodyMemory, request, limits, terms::priority, this);
        }

        void start() {
            reader.start();
        }

        @Override
        public void onRead(RequestBody body) {
            closeAfterResponse(request);
            if (stopping || !admission.tryBegin(terms.priority(), body.length(), lagMillis)) {
                reader.release();
                refuse(stopping ? "this node is stopping" : "this node takes no more requests of others");
                return;
            }
            measureLag();
            boolean accepted = false;
            try {
                new ForwardedRequest(
                                environment,
                                dispatcher,
                                metrics,
                                admitted(terms, request.headers()),
                                new PeerSource(terms),
                                request,
                                body,
                                arrivedMillis - terms.ageMillis(),
                                () -> onDone(body.length()))
                        .start();
                accepted = true;
            } finally {
                if (!accepted) {
                    request.connection().close();
                    onDone(body.length());
                }
            }
        }

        private void onDone(int bodyBytes) {
            admission.ended(bodyBytes);
            reader.release();
        }

        @Override
        public void onFault(BodyReader.Fault fault) {
            if (fault == BodyReader.Fault.NO_ROOM) {
                request.response().endHandler(nothing -> reader.closeUnread());
                refuse("this node has no memory for requests of others");
            } else {
                request.connection().close();
            }
        }

        private void refuse(String reason) {
            CallerRequestHeaders callerHeaders = environment.protocol().parseCallerHeaders(request.headers());
            request.response().setStatusCode(SERVICE_UNAVAILABLE);
            environment.protocol().addNodeHeaders(request.response().headers(), callerHeaders.requestId(), 0);
            DetourHeader.write(
                    request.response().headers(), new Outcome(DetourMessages.Result.NOT_TAKEN, 0, 0, "", reason));
            request.response().end();
        }
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
