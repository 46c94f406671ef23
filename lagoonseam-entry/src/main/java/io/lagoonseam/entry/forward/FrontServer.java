package io.lagoonseam.entry.forward;

import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.forward.BodyMemory;
import io.lagoonseam.core.forward.CallerLimits;
import io.lagoonseam.core.forward.KeyWorkspace;
import io.lagoonseam.core.forward.Route;
import io.lagoonseam.core.forward.RoutingConfiguration;
import io.lagoonseam.core.forward.StopPolicy;
import io.lagoonseam.core.resume.RouteHistory;
import io.lagoonseam.core.resume.ServiceWindow;
import io.lagoonseam.core.resume.StreamKey;
import io.lagoonseam.core.resume.StreamOrigin;
import io.lagoonseam.entry.settings.ListenAddress;
import io.netty.channel.Channel;
import io.vertx.core.Future;
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

/**
 * Accepts callers' connections, reads requests completely, and determines route, workspace and priority of each before
 * it is forwarded.
 */
final class FrontServer {

    private static final int BAD_REQUEST = 400;
    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;
    private static final int CONTENT_TOO_LARGE = 413;
    private static final int SERVICE_UNAVAILABLE = 503;

    /**
     * Largest header section that the decoder accepts, in bytes; it applies also while no configuration is in force.
     */
    private static final int MAX_HEADER_BYTES = 65_536;

    /**
     * Retry delay for callers while this node has no configuration yet or no memory for a request body, in
     * milliseconds.
     */
    private static final long UNAVAILABLE_RETRY_MILLIS = 300;

    /** Retry delay for callers that reach a stopping node, in milliseconds; short since other nodes serve at once. */
    private static final long STOPPING_RETRY_MILLIS = 20;

    /** Share of the process's memory, and of its heap, that request bodies may occupy. */
    private static final double BODY_MEMORY_SHARE = 0.1;

    private static final double BODY_HEAP_SHARE = 0.4;

    /** Number of file descriptors not available to connections, since the platform reserves them for files. */
    private static final int RESERVED_DESCRIPTORS = 200;

    /**
     * Share of the other descriptors that callers' connections may use; the rest is for connections to workers and
     * nodes.
     */
    private static final double CALLER_DESCRIPTOR_SHARE = 0.6;

    /**
     * Size of a request line without its target, in bytes: a method of six letters such as DELETE, two spaces, the HTTP
     * version and the line end.
     */
    private static final int REQUEST_LINE_BYTES = 18;

    /** Size of a header line without name and value, in bytes. */
    private static final int HEADER_LINE_BYTES = 4;

    private static final int HEADER_FIELDS_TOO_LARGE = 431;

    /**
     * Accept backlog of the listening socket: enough for a burst of connections from all callers of one data centre.
     */
    private static final int ACCEPT_BACKLOG = 1_024;

    /**
     * How long a connection has to have been idle before a stopping node closes it, in milliseconds: longer than a
     * request takes to arrive.
     */
    private static final long QUIET_MILLIS = 300;

    private final ForwardEnvironment environment;
    private final ForwardDispatcher dispatcher;
    private final Supplier<Optional<RoutingConfiguration>> configuration;
    private final Map<HttpConnection, CallerConnection> callerConnections = new HashMap<>();
    private final RequestMetrics metrics;
    private final HttpServerOptions options = new HttpServerOptions()
            .setMaxHeaderSize(MAX_HEADER_BYTES)
            .setHandle100ContinueAutomatically(true)
            .setHttp2ClearTextEnabled(false)
            .setPerFrameWebSocketCompressionSupported(false)
            .setPerMessageWebSocketCompressionSupported(false)
            .setTcpNoDelay(true)
            .setReuseAddress(true)
            .setAcceptBacklog(ACCEPT_BACKLOG);
    private final BodyMemory bodyMemory;
    private HttpServer server;
    private int inFlight;
    private Optional<StopPolicy> stopPolicy = Optional.empty();
    /** The listening socket, known from the first connection on. */
    private Optional<Channel> listener = Optional.empty();

    /** The state of one connection of a caller. */
    private static final class CallerConnection {
        private int inFlight;
        private long idleSinceMillis;
    }

    /**
     * What is known of a request that may be forwarded.
     *
     * @param callerHeaders the evaluated header fields of the caller
     * @param configuration the configuration in force
     * @param route the route of the request
     * @param workspace the workspace, empty for an anonymous request
     * @param priority the priority of the workspace or, if that has none, of the route; 0 is the most urgent
     */
    private record Admission(
            CallerRequestHeaders callerHeaders,
            RoutingConfiguration configuration,
            Route route,
            String workspace,
            int priority) {}

    FrontServer(
            ForwardEnvironment environment,
            ForwardDispatcher dispatcher,
            Supplier<Optional<RoutingConfiguration>> configuration,
            RequestMetrics metrics) {
        this.environment = environment;
        this.metrics = metrics;
        this.dispatcher = dispatcher;
        this.configuration = configuration;
        this.bodyMemory = new BodyMemory(
                environment.settings().resources().boundBytes(BODY_MEMORY_SHARE, BODY_HEAP_SHARE),
                () -> limits().bodyBytes());
    }

    /** Returns the memory that the bodies of requests occupy, in bytes. */
    long bodyBytes() {
        return bodyMemory.bytes();
    }

    /** Returns whether callers can connect: not if the listening socket was closed, though the node is not stopping. */
    boolean accepting() {
        return listener.map(Channel::isOpen).orElse(true);
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
        Channel channel = StrictFraming.enforce(connection, options);
        listener = Optional.ofNullable(channel.parent());
        CallerConnection caller = new CallerConnection();
        caller.idleSinceMillis = nowMillis();
        callerConnections.put(connection, caller);
        connection.closeHandler(nothing -> callerConnections.remove(connection));
        if (callerConnections.size() > connectionLimit()) {
            closeLongestIdle();
        }
    }

    private int connectionLimit() {
        int descriptors = environment.settings().resources().maxDescriptors();
        return (int) (CALLER_DESCRIPTOR_SHARE * (descriptors - RESERVED_DESCRIPTORS));
    }

    /**
     * Closes the connection that has been idle longest, to free a descriptor for a new one; connections with a request
     * in flight stay open.
     */
    private void closeLongestIdle() {
        callerConnections.entrySet().stream()
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

    /** Returns the number of requests in flight. */
    int inFlight() {
        return inFlight;
    }

    /**
     * Starts the stop: from now on each connection is closed after its next response, which announces that, and only
     * requests that the policy allows are accepted.
     */
    void beginStop(StopPolicy policy) {
        stopPolicy = Optional.of(policy);
    }

    /** Stops accepting connections; open ones are served as before. */
    void stopAccepting() {
        listener.ifPresent(Channel::close);
    }

    /**
     * Closes the connections without a request in flight, except new ones and those that have just had a response: a
     * request may be on its way there. The others close after their response.
     */
    void closeQuietConnections() {
        closeIdleSince(nowMillis() - QUIET_MILLIS);
    }

    /** Returns whether all connections have been closed, after the last byte of their responses was written. */
    boolean drained() {
        return callerConnections.isEmpty();
    }

    /** Closes connections that have been idle longer than the idle timeout. */
    void closeExpiredConnections() {
        closeIdleSince(nowMillis() - limits().idleTimeoutMillis());
    }

    private void closeIdleSince(long beforeMillis) {
        List<HttpConnection> idle = new ArrayList<>();
        callerConnections.forEach((connection, caller) -> {
            if (caller.inFlight == 0 && caller.idleSinceMillis < beforeMillis) {
                idle.add(connection);
            }
        });
        idle.forEach(HttpConnection::close);
    }

    private void onRequest(HttpServerRequest request) {
        new IncomingRequest(request).start();
    }

    /** One request from the arrival of its header section to the end of its response. */
    private final class IncomingRequest implements BodyReader.Listener {

        private final HttpServerRequest request;
        private final long arrivedMillis = nowMillis();
        private final BodyReader reader;
        private RequestBody body = new RequestBody(0);
        private Optional<CallerRequestHeaders> parsedHeaders = Optional.empty();
        private boolean closesConnection;
        private boolean responded;

        IncomingRequest(HttpServerRequest request) {
            this.request = request;
            // despite its name, the header timeout applies until the whole request has been read
            BodyReader.Limits readLimits = new BodyReader.Limits(limits().bodyBytes(), limits().headerTimeoutMillis());
            this.reader = new BodyReader(environment, bodyMemory, request, readLimits, this::priority, this);
        }

        void start() {
            inFlight++;
            callerConnection().ifPresent(caller -> caller.inFlight++);
            if (headerSectionBytes() > limits().headerBytes()) {
                rejectIncomplete(HEADER_FIELDS_TOO_LARGE, 0, reader::closeUnread);
                return;
            }
            reader.start();
            // a connection whose end was not announced stays open: the caller may send its next request at once
            request.response().headersEndHandler(nothing -> {
                if (stopPolicy.isPresent()) {
                    closesConnection = true;
                    request.response().putHeader("Connection", "close");
                }
            });
            request.response().endHandler(nothing -> {
                if (closesConnection) {
                    request.connection().close();
                }
            });
        }

        /** Estimates the size of the request line and the header section on the connection, in bytes. */
        private long headerSectionBytes() {
            long bytes = REQUEST_LINE_BYTES + request.uri().length();
            for (Map.Entry<String, String> header : request.headers()) {
                bytes += header.getKey().length() + header.getValue().length() + HEADER_LINE_BYTES;
            }
            return bytes;
        }

        private Optional<CallerConnection> callerConnection() {
            return Optional.ofNullable(callerConnections.get(request.connection()));
        }

        private CallerRequestHeaders callerHeaders() {
            if (parsedHeaders.isEmpty()) {
                parsedHeaders = Optional.of(environment.protocol().parseCallerHeaders(request.headers()));
            }
            return parsedHeaders.get();
        }

        /** Returns the priority of the request while its body is read; the lowest if it has no route. */
        private int priority() {
            return configuration
                    .get()
                    .flatMap(current -> route(current).map(route -> priority(current, route, callerHeaders())))
                    .orElse(Integer.MAX_VALUE);
        }

        private Optional<Route> route(RoutingConfiguration current) {
            return request.authority() == null
                    ? Optional.empty()
                    : current.routes().find(request.authority().host(), path(request.uri()));
        }

        private static int priority(RoutingConfiguration current, Route route, CallerRequestHeaders callerHeaders) {
            return current.workspaceOf(callerHeaders.apiKey())
                    .flatMap(found -> found.priority().isPresent()
                            ? Optional.of(found.priority().getAsInt())
                            : Optional.empty())
                    .orElse(route.priority());
        }

        @Override
        public void onRead(RequestBody read) {
            body = read;
            boolean accepted = false;
            try {
                forward();
                accepted = true;
            } finally {
                if (!accepted) {
                    // nobody else ends a request that this node could not take
                    request.connection().close();
                    onResponded();
                }
            }
        }

        @Override
        public void onFault(BodyReader.Fault fault) {
            switch (fault) {
                case MALFORMED, TOO_SLOW ->
                    rejectIncomplete(BAD_REQUEST, 0, () -> request.connection().close());
                case TOO_LARGE -> rejectIncomplete(CONTENT_TOO_LARGE, 0, reader::closeUnread);
                case NO_ROOM -> {
                    environment
                            .events()
                            .record(
                                    EventCode.QUEUE_FULL,
                                    "request bodies occupy " + bodyMemory.bytes()
                                            + " bytes, their share of the memory");
                    rejectIncomplete(SERVICE_UNAVAILABLE, UNAVAILABLE_RETRY_MILLIS, reader::closeUnread);
                }
            }
        }

        private void forward() {
            CallerRequestHeaders callerHeaders = callerHeaders();
            Optional<RoutingConfiguration> current = configuration.get();
            if (current.isEmpty()) {
                reject(callerHeaders, SERVICE_UNAVAILABLE, UNAVAILABLE_RETRY_MILLIS);
                return;
            }
            if (!request.uri().startsWith("/") || request.authority() == null) {
                reject(callerHeaders, BAD_REQUEST, 0);
                return;
            }
            Optional<Route> route = route(current.get());
            if (route.isEmpty()) {
                reject(callerHeaders, NOT_FOUND, 0);
                return;
            }
            if (stopPolicy.isPresent() && !stopPolicy.get().accepts(route.get(), arrivedMillis)) {
                reject(callerHeaders, SERVICE_UNAVAILABLE, STOPPING_RETRY_MILLIS);
                return;
            }
            Optional<KeyWorkspace> keyWorkspace = current.get().workspaceOf(callerHeaders.apiKey());
            if (current.get().requiresKeys()
                    && keyWorkspace.isEmpty()
                    && !route.get().anonymous()) {
                reject(callerHeaders, UNAUTHORIZED, 0);
                return;
            }
            int priority = priority(current.get(), route.get(), callerHeaders);
            String workspace = keyWorkspace.map(KeyWorkspace::workspace).orElse("");
            Admission admission = new Admission(callerHeaders, current.get(), route.get(), workspace, priority);
            if (route.get().kind().stream() && !callerHeaders.lastEventId().isEmpty()) {
                takeUp(admission);
            } else {
                String service = route.get().selectService(environment.random().nextDouble());
                forward(admission, new StreamKey(workspace, callerHeaders.requestId()), service, "");
            }
        }

        /** Has a stream that the caller takes up go on at the service and software version that began it. */
        private void takeUp(Admission admission) {
            StreamKey stream = new StreamKey(
                    admission.workspace(), admission.callerHeaders().resumedRequestId());
            ServiceWindow window = RouteHistory.window(
                    admission.route(), admission.callerHeaders().timeoutMillis());
            dispatcher.origins().find(stream, window).thenAccept(found -> {
                Optional<StreamOrigin> origin =
                        found.filter(known -> admission.route().leadsTo(known.service()));
                if (request.response().closed()) {
                    onResponded();
                } else if (origin.isPresent()) {
                    StreamOrigin known = origin.get();
                    forward(admission, stream, known.service(), known.softwareVersion());
                } else {
                    environment
                            .events()
                            .recordDecision(
                                    EventCode.STREAM_NOT_TAKEN_UP,
                                    admission.callerHeaders().requestId(),
                                    "resumes",
                                    stream.requestId(),
                                    "last_event",
                                    admission.callerHeaders().lastEventId());
                    reject(admission.callerHeaders(), SERVICE_UNAVAILABLE, UNAVAILABLE_RETRY_MILLIS);
                }
            });
        }

        private void forward(Admission admission, StreamKey stream, String service, String softwareVersion) {
            Route route = admission.route();
            new ForwardedRequest(
                            environment,
                            dispatcher,
                            metrics,
                            new AdmittedRequest(
                                    admission.callerHeaders(),
                                    route,
                                    admission.configuration().lanes().lane(route, service),
                                    admission.configuration().lanes().homeLane(route, service),
                                    service,
                                    admission.workspace(),
                                    stream,
                                    softwareVersion,
                                    admission.priority(),
                                    admission.configuration().ranks().rank(admission.priority(), route.name())),
                            RequestSource.CALLER,
                            request,
                            body,
                            arrivedMillis,
                            this::onResponded)
                    .start();
        }

        private String path(String uri) {
            int query = uri.indexOf('?');
            return query < 0 ? uri : uri.substring(0, query);
        }

        private void reject(CallerRequestHeaders callerHeaders, int status, long retryAfterMillis) {
            logRejected(callerHeaders, status);
            request.response().setStatusCode(status);
            environment
                    .protocol()
                    .addNodeHeaders(request.response().headers(), callerHeaders.requestId(), retryAfterMillis);
            request.response().end();
            onResponded();
        }

        /** Responds to a request that is not read completely, and has its connection closed. */
        private void rejectIncomplete(int status, long retryAfterMillis, Runnable close) {
            if (!request.response().ended() && !request.response().closed()) {
                request.response().setStatusCode(status).putHeader("Connection", "close");
                CallerRequestHeaders callerHeaders = callerHeaders();
                logRejected(callerHeaders, status);
                environment
                        .protocol()
                        .addNodeHeaders(request.response().headers(), callerHeaders.requestId(), retryAfterMillis);
                request.response().end().onComplete(written -> close.run());
            }
            onResponded();
        }

        private void logRejected(CallerRequestHeaders callerHeaders, int status) {
            long version =
                    configuration.get().map(RoutingConfiguration::version).orElse(-1L);
            environment
                    .events()
                    .recordDecision(
                            EventCode.REQUEST_REJECTED,
                            callerHeaders.requestId(),
                            "status",
                            status,
                            "configuration",
                            version,
                            "body_bytes",
                            body.length());
        }

        private void onResponded() {
            if (responded) {
                return;
            }
            responded = true;
            inFlight--;
            reader.release();
            // an idle connection may keep its last request
            body = new RequestBody(0);
            callerConnection().ifPresent(caller -> {
                caller.inFlight--;
                caller.idleSinceMillis = nowMillis();
            });
        }
    }
}
