package io.lagoonseam.entry.caller;

import io.lagoonseam.core.admission.Ticket;
import io.lagoonseam.core.audit.EventCode;
import io.lagoonseam.core.configuration.FileSet;
import io.lagoonseam.core.configuration.Model;
import io.lagoonseam.core.configuration.RequestClass;
import io.lagoonseam.core.configuration.Service;
import io.lagoonseam.core.configuration.ServiceKind;
import io.lagoonseam.core.configuration.ServiceLevel;
import io.lagoonseam.core.configuration.Workspace;
import io.lagoonseam.core.operation.OperationKey;
import io.lagoonseam.core.time.TimeSource;
import io.lagoonseam.core.verdict.Refusal;
import io.lagoonseam.entry.configuration.ActiveConfiguration;
import io.lagoonseam.entry.configuration.KeyHash;
import io.lagoonseam.entry.dispatch.AnswerSink;
import io.lagoonseam.entry.dispatch.CancellableRequest;
import io.lagoonseam.entry.dispatch.Dispatcher;
import io.lagoonseam.entry.dispatch.ModelRequest;
import io.lagoonseam.entry.dispatch.PlainServiceRequest;
import io.lagoonseam.entry.upstream.GenerateRequest;
import io.lagoonseam.entry.upstream.PlainRequest;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.Collection;
import java.util.Optional;
import java.util.TreeSet;
import java.util.UUID;
import java.util.function.BooleanSupplier;

/** The HTTP routes of the callers' interface: chat completions, the list of models and plain services. */
public final class CallerRoutes {

    private static final int BAD_REQUEST = 400;
    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;
    private static final int TOO_LARGE = 413;
    private static final int UNAVAILABLE = 503;
    private static final long UNAVAILABLE_RETRY_MILLIS = 1_000;
    private static final String REQUEST_ID_KEY = "requestId";
    private static final String SERVICES_PREFIX = "/services/";

    private final ActiveConfiguration configuration;
    private final Dispatcher dispatcher;
    private final TimeSource time;
    private final BooleanSupplier acceptsRequests;

    /**
     * Creates the routes.
     *
     * @param configuration the configuration in force
     * @param dispatcher runs the requests
     * @param time the wall clock and the monotonic clock
     * @param acceptsRequests returns whether the node accepts new requests
     */
    public CallerRoutes(
            ActiveConfiguration configuration,
            Dispatcher dispatcher,
            TimeSource time,
            BooleanSupplier acceptsRequests) {
        this.configuration = configuration;
        this.dispatcher = dispatcher;
        this.time = time;
        this.acceptsRequests = acceptsRequests;
    }

    /** Handles an authenticated request and throws {@link RefusedException} to refuse it. */
    @FunctionalInterface
    private interface CheckedHandler {
        void handle(RoutingContext context, FileSet fileSet, Workspace workspace) throws RefusedException;
    }

    /**
     * Builds the router.
     *
     * @param vertx the Vert.x instance
     * @param bodyLimitBytes the largest accepted request body, in bytes
     * @return the router
     */
    public Router router(Vertx vertx, int bodyLimitBytes) {
        Router router = Router.router(vertx);
        router.route().handler(CallerRoutes::assignId);
        router.route().handler(BodyHandler.create(false).setBodyLimit(bodyLimitBytes));
        router.post("/v1/chat/completions").handler(checked(this::chatCompletions));
        router.get("/v1/models").handler(checked(this::models));
        router.route(SERVICES_PREFIX + "*").handler(checked(this::plainService));
        router.errorHandler(NOT_FOUND, context -> writeRefusal(context, EventCode.PATH_UNKNOWN, NOT_FOUND));
        router.errorHandler(TOO_LARGE, context -> writeRefusal(context, EventCode.BODY_TOO_LARGE, TOO_LARGE));
        return router;
    }

    private static void assignId(RoutingContext context) {
        String id = UUID.randomUUID().toString();
        context.put(REQUEST_ID_KEY, id);
        context.response().putHeader(CallerHeaders.REQUEST_ID, id);
        context.next();
    }

    private static String requestId(RoutingContext context) {
        return context.get(REQUEST_ID_KEY);
    }

    private static void writeRefusal(RoutingContext context, EventCode event, int status) {
        RefusalWriter.write(context.response(), Refusal.builder(event, status).build(), requestId(context));
    }

    private static RefusedException refusedException(EventCode event, int status, String message) {
        return new RefusedException(
                Refusal.builder(event, status).message(message).build());
    }

    private static RefusedException unknownName(EventCode event, String name, Collection<String> known) {
        String list = String.join(", ", new TreeSet<>(known));
        return refusedException(event, NOT_FOUND, event.summary() + ": '" + name + "'; known are " + list);
    }

    private Handler<RoutingContext> checked(CheckedHandler handler) {
        return context -> {
            try {
                FileSet fileSet = requireFileSet(context);
                handler.handle(context, fileSet, authenticate(context, fileSet));
            } catch (RefusedException e) {
                RefusalWriter.write(context.response(), e.refusal(), requestId(context));
            }
        };
    }

    private FileSet requireFileSet(RoutingContext context) throws RefusedException {
        if (!acceptsRequests.getAsBoolean()) {
            context.response().putHeader("Connection", "close");
            throw new RefusedException(Refusal.builder(EventCode.NODE_LEAVING, UNAVAILABLE)
                    .retryAfterMillis(UNAVAILABLE_RETRY_MILLIS)
                    .build());
        }
        return configuration
                .current()
                .orElseThrow(() -> new RefusedException(Refusal.builder(EventCode.CONFIGURATION_ABSENT, UNAVAILABLE)
                        .retryAfterMillis(UNAVAILABLE_RETRY_MILLIS)
                        .build()))
                .fileSet();
    }

    private static Workspace authenticate(RoutingContext context, FileSet fileSet) throws RefusedException {
        String authorization = context.request().getHeader(CallerHeaders.AUTHORIZATION);
        return Authenticator.workspaceOf(authorization, fileSet)
                .orElseThrow(() -> new RefusedException(
                        Refusal.builder(EventCode.KEY_UNKNOWN, UNAUTHORIZED).build()));
    }

    private void models(RoutingContext context, FileSet fileSet, Workspace workspace) {
        JsonArray list = new JsonArray();
        for (String name : new TreeSet<>(fileSet.models().keySet())) {
            list.add(new JsonObject().put("id", name).put("object", "model").put("owned_by", workspace.name()));
        }
        JsonObject body = new JsonObject().put("object", "list").put("data", list);
        context.response().putHeader("Content-Type", "application/json").end(body.encode());
    }

    private void chatCompletions(RoutingContext context, FileSet fileSet, Workspace workspace) throws RefusedException {
        JsonObject body = parseBody(context);
        String modelName = body.getString("model");
        Model model = modelName == null ? null : fileSet.models().get(modelName);
        if (model == null) {
            throw unknownName(
                    EventCode.MODEL_UNKNOWN, modelName, fileSet.models().keySet());
        }
        RequestClass requestClass = classify(context, fileSet, workspace, model.service(), modelName);
        Ticket ticket = createTicket(context, fileSet, workspace, requestClass);
        boolean streamed = body.getBoolean("stream", false);
        AnswerSink sink = streamed
                ? new StreamedAnswerWriter(context.response(), ticket.id(), modelName)
                : new CompleteAnswerWriter(context.response(), ticket.id(), modelName);
        Buffer upstreamBody = body.put("stream", true).toBuffer();
        Service service = fileSet.services().get(model.service());
        GenerateRequest upstreamRequest = new GenerateRequest(
                ticket.id(), requestClass.tier().ordinal(), upstreamBody, PromptText.of(body), service.silenceMillis());
        ModelRequest request =
                new ModelRequest(ticket, upstreamRequest, context.vertx().getOrCreateContext(), sink);
        cancelWhenClosed(context, dispatcher.generate(request));
    }

    private static JsonObject parseBody(RoutingContext context) throws RefusedException {
        try {
            JsonObject body = context.body().asJsonObject();
            if (body == null || !(body.getValue("messages") instanceof JsonArray)) {
                throw refusedException(EventCode.BODY_MALFORMED, BAD_REQUEST, "The body needs 'model' and 'messages'");
            }
            if (!(body.getValue("stream", false) instanceof Boolean)) {
                throw refusedException(EventCode.BODY_MALFORMED, BAD_REQUEST, "'stream' must be true or false");
            }
            if (body.getValue("model") != null && !(body.getValue("model") instanceof String)) {
                throw refusedException(EventCode.BODY_MALFORMED, BAD_REQUEST, "'model' must be a text");
            }
            return body;
        } catch (DecodeException | ClassCastException e) {
            RefusedException refusal =
                    refusedException(EventCode.BODY_MALFORMED, BAD_REQUEST, EventCode.BODY_MALFORMED.summary());
            refusal.initCause(e);
            throw refusal;
        }
    }

    private void plainService(RoutingContext context, FileSet fileSet, Workspace workspace) throws RefusedException {
        String rest = context.normalizedPath().substring(SERVICES_PREFIX.length());
        int slash = rest.indexOf('/');
        String serviceName = slash < 0 ? rest : rest.substring(0, slash);
        Service service = fileSet.services().get(serviceName);
        if (service == null || service.kind() != ServiceKind.PLAIN) {
            throw unknownName(EventCode.SERVICE_UNKNOWN, serviceName, plainServices(fileSet));
        }
        RequestClass requestClass = classify(context, fileSet, workspace, serviceName, null);
        Ticket ticket = createTicket(context, fileSet, workspace, requestClass);
        HttpServerRequest incoming = context.request();
        Buffer body = context.body().buffer() == null
                ? Buffer.buffer()
                : context.body().buffer();
        Optional<String> key = Optional.ofNullable(incoming.getHeader(CallerHeaders.IDEMPOTENCY_KEY));
        String query = incoming.query() == null ? "" : "?" + incoming.query();
        String path = (slash < 0 ? "/" : rest.substring(slash)) + query;
        String contentType = incoming.getHeader("Content-Type");
        PlainRequest upstreamRequest = new PlainRequest(
                ticket.id(),
                incoming.method(),
                path,
                contentType == null ? "application/octet-stream" : contentType,
                key,
                body,
                service.silenceMillis());
        Optional<OperationKey> operation = requestClass.idempotent()
                ? Optional.empty()
                : key.map(value -> new OperationKey(
                        workspace.name(), value, KeyHash.digest(incoming.method() + " " + path + "\n" + body)));
        PlainServiceRequest request = new PlainServiceRequest(
                ticket,
                upstreamRequest,
                operation,
                service.statusPath(),
                context.vertx().getOrCreateContext(),
                new PlainAnswerWriter(context.response(), ticket.id()));
        cancelWhenClosed(context, dispatcher.call(request));
    }

    private static Collection<String> plainServices(FileSet fileSet) {
        return fileSet.services().values().stream()
                .filter(service -> service.kind() == ServiceKind.PLAIN)
                .map(Service::name)
                .toList();
    }

    private static RequestClass classify(
            RoutingContext context, FileSet fileSet, Workspace workspace, String service, String model)
            throws RefusedException {
        String requestedClass = context.request().getHeader(CallerHeaders.REQUEST_CLASS);
        RequestClassifier.Traits traits =
                new RequestClassifier.Traits(context.normalizedPath(), requestedClass, service, model);
        return RequestClassifier.classify(workspace, fileSet, traits)
                .orElseThrow(() -> unknownName(
                        EventCode.CLASS_UNKNOWN,
                        requestedClass,
                        RequestClassifier.classesOfService(workspace, fileSet, service)));
    }

    private Ticket createTicket(RoutingContext context, FileSet fileSet, Workspace workspace, RequestClass requestClass)
            throws RefusedException {
        ServiceLevel level = fileSet.serviceLevels().get(requestClass.serviceLevel());
        long nowMillis = time.monotonicMillis();
        long deadlineMillis = nowMillis + deadlineMillis(context, level);
        return new Ticket(requestId(context), workspace.name(), requestClass, level, nowMillis, deadlineMillis);
    }

    private static long deadlineMillis(RoutingContext context, ServiceLevel level) throws RefusedException {
        String header = context.request().getHeader(CallerHeaders.DEADLINE_MILLIS);
        if (header == null) {
            return level.deadlineMillis();
        }
        try {
            long millis = Long.parseLong(header.trim());
            if (millis > 0) {
                return Math.min(millis, level.deadlineMillis());
            }
        } catch (NumberFormatException e) {
            RefusedException refusal = malformedDeadline();
            refusal.initCause(e);
            throw refusal;
        }
        throw malformedDeadline();
    }

    private static RefusedException malformedDeadline() {
        return refusedException(
                EventCode.HEADER_MALFORMED,
                BAD_REQUEST,
                CallerHeaders.DEADLINE_MILLIS + " must be a positive number of milliseconds");
    }

    private static void cancelWhenClosed(RoutingContext context, CancellableRequest request) {
        context.response().closeHandler(closed -> request.cancel());
    }
}
