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

/** Reads and writes the registrations of nodes on the platform: one object per node with its peer address. */
public final class MemberRegistration {

    private static final String PREFIX = "members/";

    private final ObjectStore platform;

    /**
     * Creates the access to the registrations.
     *
     * @param platform the object store of the platform
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
     * Writes the peer address of a node.
     *
     * @param member the node
     * @return completes with true if the platform confirmed the write
     */
    public CompletionStage<Boolean> write(Member member) {
        JsonObject value = new JsonObject().put("host", member.host()).put("port", member.port());
        return platform.write(name(member), value.toBuffer().getBytes(), new WriteCondition.Always())
                .thenApply(WriteResult.Written.class::isInstance);
    }

    /**
     * Removes the registration of a node.
     *
     * @param member the node
     * @param condition the condition on the object's version under which it is removed
     * @return completes when the removal has succeeded or failed
     */
    public CompletionStage<Void> remove(Member member, WriteCondition condition) {
        return platform.delete(name(member), condition).thenAccept(result -> {});
    }

    /**
     * Lists the registrations of a data centre.
     *
     * @param dataCentre the name of the data centre
     * @return the registered objects; {@link #nodeId} extracts the node's name from each
     */
    public CompletionStage<ListResult> list(String dataCentre) {
        return platform.list(prefix(dataCentre));
    }

    /**
     * Extracts the id of a node from the name of its registration object.
     *
     * @param object the registration object
     * @return the id of the node
     */
    public static String nodeId(ObjectVersion object) {
        return object.name().substring(object.name().lastIndexOf('/') + 1);
    }

    /**
     * Reads the peer address of a node.
     *
     * @param dataCentre the name of the node's data centre
     * @param nodeId the id of the node
     * @return the node, or empty if it is not registered, its registration is malformed or the platform does not answer
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
