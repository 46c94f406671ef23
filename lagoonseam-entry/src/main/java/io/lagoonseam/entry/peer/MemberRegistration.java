package io.lagoonseam.entry.peer;

import io.lagoonseam.core.membership.Member;
import io.lagoonseam.core.membership.MemberState;
import io.lagoonseam.core.platform.ListResult;
import io.lagoonseam.core.platform.ObjectStore;
import io.lagoonseam.core.platform.ObjectVersion;
import io.lagoonseam.core.platform.ReadResult;
import io.lagoonseam.core.platform.WriteCondition;
import io.lagoonseam.core.platform.WriteResult;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** The small objects on the platform that say where the nodes of each data centre listen for peers. */
public final class MemberRegistration {

    private static final String PREFIX = "members/";

    private final ObjectStore platform;

    /**
     * Creates the view.
     *
     * @param platform the platform
     */
    public MemberRegistration(ObjectStore platform) {
        this.platform = platform;
    }

    private static String prefix(String dataCentre) {
        return PREFIX + dataCentre + "/";
    }

    private static String name(Member member) {
        return prefix(member.dataCentre()) + member.nodeId();
    }

    /**
     * Writes where a node listens.
     *
     * @param member the node
     * @return whether it is written
     */
    public CompletionStage<Boolean> write(Member member) {
        JsonObject value = new JsonObject().put("host", member.host()).put("port", member.port());
        return platform.write(name(member), value.toBuffer().getBytes(), new WriteCondition.Always())
                .thenApply(WriteResult.Written.class::isInstance);
    }

    /**
     * Removes a node.
     *
     * @param member the node
     * @param condition what must hold of the object
     * @return completes when it is removed or could not be
     */
    public CompletionStage<Void> remove(Member member, WriteCondition condition) {
        return platform.delete(name(member), condition).thenAccept(result -> {});
    }

    /**
     * Lists the nodes of a data centre.
     *
     * @param dataCentre the data centre
     * @return the objects, whose names {@link #nodeId} reads
     */
    public CompletionStage<ListResult> list(String dataCentre) {
        return platform.list(prefix(dataCentre));
    }

    /**
     * Reads the node's name in the name of its object.
     *
     * @param object the object
     * @return the node's name
     */
    public static String nodeId(ObjectVersion object) {
        return object.name().substring(object.name().lastIndexOf('/') + 1);
    }

    /**
     * Reads where a node listens.
     *
     * @param dataCentre its data centre
     * @param nodeId its name
     * @return the node, or empty if it is not registered or the platform does not answer
     */
    public CompletionStage<Optional<Member>> read(String dataCentre, String nodeId) {
        return platform.read(prefix(dataCentre) + nodeId).thenApply(result -> {
            if (result instanceof ReadResult.Found found) {
                return parse(dataCentre, nodeId, found.value());
            }
            return Optional.empty();
        });
    }

    private static Optional<Member> parse(String dataCentre, String nodeId, byte[] value) {
        try {
            JsonObject read = Buffer.buffer(value).toJsonObject();
            return Optional.of(new Member(
                    nodeId, dataCentre, read.getString("host"), read.getInteger("port"), 0, MemberState.ALIVE));
        } catch (DecodeException | ClassCastException | NullPointerException e) {
            return Optional.empty();
        }
    }
}
