package io.lagoonseam.entry.forward;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.forward.CallerLimits;
import io.lagoonseam.core.forward.KeyHolder;
import io.lagoonseam.core.forward.Route;
import io.lagoonseam.core.forward.RoutingConfiguration;
import io.lagoonseam.core.forward.StopPolicy;
import io.lagoonseam.entry.settings.ListenAddress;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/** Takes callers' connections, reads requests whole, and finds what is known of each before it is forwarded. */
final class FrontServer {

    private static final int BAD_REQUEST = 400;
    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;
    private static final int TOO_LARGE = 413;
    private static final int SERVICE_UNAVAILABLE = 503;

    /** The largest head before any configuration says more, in bytes. */
    private static final int HEADER_BYTES = 65_536;

    /** When a caller should come back to a node that has no configuration yet, in milliseconds. */
    private static final long NO_CONFIGURATION_PAUSE_MILLIS = 300;

    /** When a caller should come back that met a node which stops, in milliseconds: other nodes serve now. */
    private static final long STOPPING_PAUSE_MILLIS = 20;

    /** The part of the process's memory that bodies of callers may hold. */
    private static final double BODY_MEMORY_SHARE = 0.1;

    /** Descriptors that are no connections, in a count: what the platform sets aside for files. */
    private static final int OTHER_DESCRIPTORS = 200;

    /** The part of the other descriptors that callers' connections may take; the rest is for workers and nodes. */
    private static final double CALLER_DESCRIPTOR_SHARE = 0.6;

    /** The bytes of a request line besides its target: the longest method, the version and the end of the line. */
    private static final int REQUEST_LINE_BYTES = 18;

    /** The bytes of a header's line besides name and value. */
    private static final int HEADER_LINE_BYTES = 4;

    private static final int HEAD_TOO_LARGE = 431;

    /** The connections that wait to be accepted: a burst of a whole data centre's callers. */
    private static final int ACCEPT_BACKLOG = 1_024;

    private final ForwardEnvironment environment;
    private final ForwardDispatcher dispatcher;
    private final Supplier<Optional<RoutingConfiguration>> configuration;
    private final Map<HttpConnection, Caller> callers = new HashMap<>();
    private final RequestMetrics metrics;
    private final HttpServerOptions options = new HttpServerOptions()
            .setMaxHeaderSize(HEADER_BYTES)
            .setHandle100ContinueAutomatically(true)
            .setHttp2ClearTextEnabled(false)
            .setPerFrameWebSocketCompressionSupported(false)
            .setPerMessageWebSocketCompressionSupported(false)
            .setTcpNoDelay(true)
            .setReuseAddress(true)
            .setAcceptBacklog(ACCEPT_BACKLOG);
    private HttpServer server;
    private long bodyBytes;
    private int inFlight;
    private Optional<StopPolicy> stop = Optional.empty();

    /** What is known of one connection of a caller. */
    private static final class Caller {
        private int inFlight;
        private long idleSinceMillis;
    }

    FrontServer(
            ForwardEnvironment environment,
            ForwardDispatcher dispatcher,
            Supplier<Optional<RoutingConfiguration>> configuration,
            RequestMetrics metrics) {
        this.environment = environment;
        this.metrics = metrics;
        this.dispatcher = dispatcher;
        this.configuration = configuration;
    }

    private long bodyBytesLimit() {
        int memoryMegabytes = environment.settings().resources().memoryMegabytes();
        return Math.round(BODY_MEMORY_SHARE * memoryMegabytes * (1 << 20));
    }

    Future<Void> start() {
        ListenAddress address = environment.settings().callers();
        server = environment
                .vertx()
                .createHttpServer(options)
                .connectionHandler(this::onConnection)
                .requestHandler(this::onRequest);
        return server.listen(address.port(), address.host()).mapEmpty();
    }

    private void onConnection(HttpConnection connection) {
        StrictFraming.enforce(connection, options);
        Caller caller = new Caller();
        caller.idleSinceMillis = nowMillis();
        callers.put(connection, caller);
        connection.closeHandler(nothing -> callers.remove(connection));
        if (callers.size() > connectionLimit()) {
            closeLongestIdle();
        }
    }

    private int connectionLimit() {
        int descriptors = environment.settings().resources().maxDescriptors();
        return (int) (CALLER_DESCRIPTOR_SHARE * (descriptors - OTHER_DESCRIPTORS));
    }

    /** Makes room for a new connection; requests that are being served are not touched. */
    private void closeLongestIdle() {
        callers.entrySet().stream()
                .filter(entry -> entry.getValue().inFlight == 0)
                .min(Comparator.comparingLong(entry -> entry.getValue().idleSinceMillis))
                .ifPresent(entry -> entry.getKey().close());
    }

    private long nowMillis() {
        return environment.time().monotonicMillis();
    }

    private CallerLimits limits() {
        return configuration.get().map(RoutingConfiguration::limits).orElse(CallerLimits.DEFAULT);
    }

    /** Returns the requests that are being served. */
    int inFlight() {
        return inFlight;
    }

    /** Asks callers to use other connections from now on, and takes only what the policy allows. */
    void announceStop(StopPolicy policy) {
        stop = Optional.of(policy);
    }

    /** Closes the connections on which no request is being served, and the others after their answer. */
    void closeIdleConnections() {
        for (Map.Entry<HttpConnection, Caller> entry : new ArrayList<>(callers.entrySet())) {
            if (entry.getValue().inFlight == 0) {
                entry.getKey().close();
            }
        }
    }

    /** Closes connections that have been idle for too long. */
    void sweep() {
        long limitMillis = limits().idleTimeoutMillis();
        long nowMillis = nowMillis();
        List<HttpConnection> over = new ArrayList<>();
        callers.forEach((connection, caller) -> {
            if (caller.inFlight == 0 && nowMillis - caller.idleSinceMillis > limitMillis) {
                over.add(connection);
            }
        });
        over.forEach(HttpConnection::close);
    }

    private void onRequest(HttpServerRequest request) {
        new Reading(request).start();
    }

    /** A request that is being read. */
    private final class Reading {

        private final HttpServerRequest request;
        private final long arrivedMillis = nowMillis();
        private final Buffer body = Buffer.buffer();
        private final long bodyLimitBytes = limits().bodyBytes();
        private boolean over;
        private long readTimer = -1;

        Reading(HttpServerRequest request) {
            this.request = request;
        }

        void start() {
            inFlight++;
            caller().ifPresent(caller -> caller.inFlight++);
            if (headBytes() > limits().headerBytes()) {
                reject(HEAD_TOO_LARGE, 0);
                return;
            }
            readTimer = environment.vertx().setTimer(limits().headerTimeoutMillis(), timer -> {
                if (!over) {
                    reject(BAD_REQUEST, 0);
                }
            });
            request.exceptionHandler(cause -> {
                if (!over) {
                    reject(BAD_REQUEST, 0);
                }
            });
            request.handler(this::onBody);
            request.endHandler(nothing -> onRead());
            request.response().endHandler(nothing -> {
                if (stop.isPresent()) {
                    request.connection().close();
                }
            });
        }

        /** Returns the size of the head as it is written on the connection. */
        private long headBytes() {
            long bytes = REQUEST_LINE_BYTES + request.uri().length();
            for (Map.Entry<String, String> header : request.headers()) {
                bytes += header.getKey().length() + header.getValue().length() + HEADER_LINE_BYTES;
            }
            return bytes;
        }

        private Optional<Caller> caller() {
            return Optional.ofNullable(callers.get(request.connection()));
        }

        private void onBody(Buffer bytes) {
            if (over) {
                return;
            }
            body.appendBuffer(bytes);
            bodyBytes += bytes.length();
            if (body.length() > bodyLimitBytes) {
                reject(TOO_LARGE, 0);
            } else if (bodyBytes > bodyBytesLimit()) {
                environment.events().record(EventCode.QUEUE_FULL, "bodies of callers hold " + bodyBytes + " bytes");
                reject(SERVICE_UNAVAILABLE, NO_CONFIGURATION_PAUSE_MILLIS);
            }
        }

        private void onRead() {
            environment.vertx().cancelTimer(readTimer);
            if (over) {
                return;
            }
            over = true;
            if (stop.isPresent()) {
                request.response().putHeader("Connection", "close");
            }
            forward();
        }

        private void forward() {
            CallerHead head = environment.protocol().caller(request.headers());
            Optional<RoutingConfiguration> current = configuration.get();
            if (current.isEmpty()) {
                answer(head, SERVICE_UNAVAILABLE, NO_CONFIGURATION_PAUSE_MILLIS);
                return;
            }
            if (!request.uri().startsWith("/") || request.authority() == null) {
                answer(head, BAD_REQUEST, 0);
                return;
            }
            Optional<Route> route =
                    current.get().routes().find(request.authority().host(), path(request.uri()));
            if (route.isEmpty()) {
                answer(head, NOT_FOUND, 0);
                return;
            }
            if (stop.isPresent() && !stop.get().takes(route.get(), arrivedMillis)) {
                answer(head, SERVICE_UNAVAILABLE, STOPPING_PAUSE_MILLIS);
                return;
            }
            Optional<KeyHolder> holder = current.get().holder(head.key());
            if (current.get().keyed() && holder.isEmpty() && !route.get().anonymous()) {
                answer(head, UNAUTHORIZED, 0);
                return;
            }
            int priority = holder.flatMap(found -> found.priority().isPresent()
                            ? Optional.of(found.priority().getAsInt())
                            : Optional.empty())
                    .orElse(route.get().priority());
            String service = route.get().service(environment.random().nextDouble());
            new ForwardedRequest(
                            environment,
                            dispatcher,
                            metrics,
                            new ForwardedRequest.Admitted(
                                    head,
                                    route.get(),
                                    current.get().lanes().lane(route.get(), service),
                                    service,
                                    holder.map(KeyHolder::workspace).orElse(""),
                                    priority),
                            request,
                            body,
                            arrivedMillis,
                            this::onAnswered)
                    .begin();
        }

        private String path(String uri) {
            int query = uri.indexOf('?');
            return query < 0 ? uri : uri.substring(0, query);
        }

        private void answer(CallerHead head, int status, long retryAfterMillis) {
            rejected(head, status);
            request.response().setStatusCode(status);
            environment.protocol().own(request.response().headers(), head.requestId(), retryAfterMillis);
            request.response().end();
            onAnswered();
        }

        /** Answers a request that cannot be read whole and closes its connection. */
        private void reject(int status, long retryAfterMillis) {
            over = true;
            environment.vertx().cancelTimer(readTimer);
            if (!request.response().ended() && !request.response().closed()) {
                request.response().setStatusCode(status).putHeader("Connection", "close");
                CallerHead head = environment.protocol().caller(request.headers());
                rejected(head, status);
                environment.protocol().own(request.response().headers(), head.requestId(), retryAfterMillis);
                request.response()
                        .end()
                        .onComplete(written -> request.connection().close());
            }
            onAnswered();
        }

        private void rejected(CallerHead head, int status) {
            long version =
                    configuration.get().map(RoutingConfiguration::version).orElse(-1L);
            environment
                    .events()
                    .decided(
                            EventCode.REQUEST_REJECTED,
                            head.requestId(),
                            "status",
                            status,
                            "configuration",
                            version,
                            "body_bytes",
                            body.length());
        }

        private void onAnswered() {
            inFlight--;
            bodyBytes -= body.length();
            caller().ifPresent(caller -> {
                caller.inFlight--;
                caller.idleSinceMillis = nowMillis();
            });
        }
    }
}
