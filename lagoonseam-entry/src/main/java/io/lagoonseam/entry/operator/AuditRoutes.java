package io.lagoonseam.entry.operator;

import io.lagoonseam.core.audit.AuditEntry;
import io.lagoonseam.core.audit.AuditTrail;
import io.lagoonseam.core.audit.RequestStep;
import io.lagoonseam.core.audit.RequestTrail;
import io.lagoonseam.core.membership.Member;
import io.lagoonseam.entry.configuration.ConfigurationFollower;
import io.lagoonseam.entry.configuration.InForceReader;
import io.lagoonseam.entry.configuration.InForceStatus;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * The HTTP routes that return the recorded events of a node, the recorded steps of a request, and the members, roles
 * and configuration generations that the node knows.
 */
public final class AuditRoutes {

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int DEFAULT_LIMIT = 100;

    private final AuditTrail audit;
    private final RequestTrail requests;
    private final Supplier<List<Member>> members;
    private final ConfigurationFollower follower;
    private final InForceReader inForce;

    /**
     * Creates the routes.
     *
     * @param audit the recorded events
     * @param requests the recorded steps of requests
     * @param members returns all known members
     * @param follower keeps the configuration of this node up to date
     * @param inForce reads the generation that each data centre reports as in force
     */
    public AuditRoutes(
            AuditTrail audit,
            RequestTrail requests,
            Supplier<List<Member>> members,
            ConfigurationFollower follower,
            InForceReader inForce) {
        this.audit = audit;
        this.requests = requests;
        this.members = members;
        this.follower = follower;
        this.inForce = inForce;
    }

    /**
     * Adds the routes to a router.
     *
     * @param router the router of the operators' interface
     * @return the same router
     */
    public Router addTo(Router router) {
        router.get("/events").handler(this::events);
        router.get("/requests/:id").handler(this::request);
        router.get("/fleet").handler(this::fleet);
        return router;
    }

    private static void send(RoutingContext context, int status, JsonObject body) {
        context.response()
                .setStatusCode(status)
                .putHeader("Content-Type", "application/json")
                .end(body.encode());
    }

    private void events(RoutingContext context) {
        int limit = parseLimit(context.request().getParam("limit"));
        JsonArray list = new JsonArray();
        for (AuditEntry entry : audit.latest(limit)) {
            list.add(new JsonObject()
                    .put("number", entry.number())
                    .put("atMillis", entry.atMillis())
                    .put("event", entry.code().number())
                    .put("name", entry.code().name())
                    .put("detail", entry.detail()));
        }
        send(context, OK, new JsonObject().put("events", list));
    }

    private static int parseLimit(String text) {
        try {
            return text == null ? DEFAULT_LIMIT : Integer.parseInt(text);
        } catch (NumberFormatException e) {
            return DEFAULT_LIMIT;
        }
    }

    private void request(RoutingContext context) {
        String id = context.pathParam("id");
        Optional<List<RequestStep>> steps = requests.find(id);
        if (steps.isEmpty()) {
            send(
                    context,
                    NOT_FOUND,
                    new JsonObject().put("error", "request " + id + " is not among the latest that this node served"));
            return;
        }
        JsonArray list = new JsonArray();
        for (RequestStep step : steps.get()) {
            list.add(new JsonObject()
                    .put("atMillis", step.atMillis())
                    .put("step", step.kind().name())
                    .put("detail", step.detail()));
        }
        send(context, OK, new JsonObject().put("requestId", id).put("steps", list));
    }

    private void fleet(RoutingContext context) {
        JsonArray list = new JsonArray();
        for (Member member : members.get()) {
            list.add(new JsonObject()
                    .put("nodeId", member.nodeId())
                    .put("dataCentre", member.dataCentre())
                    .put("state", member.state().name()));
        }
        JsonArray roles = new JsonArray();
        if (follower.isRelay()) {
            roles.add("configuration relay");
        }
        JsonObject body =
                new JsonObject().put("members", list).put("roles", roles).put("generation", follower.generation());
        inForce.read().thenAccept(statuses -> send(context, OK, body.put("dataCentres", dataCentres(statuses))));
    }

    private static JsonArray dataCentres(Optional<List<InForceStatus>> statuses) {
        JsonArray list = new JsonArray();
        for (InForceStatus status : statuses.orElse(List.of())) {
            list.add(new JsonObject()
                    .put("dataCentre", status.dataCentre())
                    .put("generation", status.generation())
                    .put("members", status.members())
                    .put("missing", new JsonArray(status.missing()))
                    .put("relay", status.relay())
                    .put("atMillis", status.atMillis()));
        }
        return list;
    }
}
