package io.lagoonseam.core.operation.internal;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import io.lagoonseam.core.hash.Rendezvous;
import io.lagoonseam.core.membership.MemberDirectory;
import io.lagoonseam.core.operation.OperationKey;
import io.lagoonseam.core.operation.OwnerClient;
import java.util.List;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.function.Function;

/** Finds the shard of a key and the node that should own a shard. */
public final class ShardRoutes {

    private static final Hasher64 HASHER = Hashing.komihash5_0();

    private static final int LOST_REPLIES_BEFORE_TAKEOVER = 3;

    private final MemberDirectory members;
    private final AtomicReferenceArray<String> knownOwners;
    private final AtomicIntegerArray lostReplies;

    /**
     * Creates routes.
     *
     * @param members the live members
     * @param shards the number of shards
     */
    public ShardRoutes(MemberDirectory members, int shards) {
        this.members = members;
        this.knownOwners = new AtomicReferenceArray<>(shards);
        this.lostReplies = new AtomicIntegerArray(shards);
        members.onChange(this::forgetOwners);
    }

    private void forgetOwners() {
        for (int shard = 0; shard < knownOwners.length(); shard++) {
            knownOwners.set(shard, null);
        }
    }

    /**
     * Returns this node.
     *
     * @return its name as an owner
     */
    public String self() {
        return OwnerClient.nameOf(members.self());
    }

    /**
     * Returns whether an owner is left alone: one of another data centre that has not failed to answer this node.
     *
     * @param shard the number of the shard
     * @param owner the owner
     * @return whether to ask it rather than to take the shard over
     */
    public boolean yieldsTo(int shard, String owner) {
        boolean elsewhere = !owner.isEmpty() && !owner.startsWith(members.self().dataCentre() + '/');
        return elsewhere && !self().equals(knownOwners.get(shard));
    }

    /**
     * Returns the shard of an operation.
     *
     * @param key the operation
     * @return a number from 0
     */
    public int shardOf(OperationKey key) {
        long hash = HASHER.hashCharsToLong(key.workspace() + '\n' + key.key());
        return (int) Long.remainderUnsigned(hash, knownOwners.length());
    }

    /**
     * Returns the node to ask about a shard.
     *
     * @param shard its number
     * @return the owner that is known, else the live member of the highest rendezvous hash
     */
    public String ownerOf(int shard) {
        String known = knownOwners.get(shard);
        if (known != null) {
            return known;
        }
        List<String> names =
                members.liveMembers().stream().map(OwnerClient::nameOf).toList();
        return Rendezvous.subset("journal/" + shard, names, Function.identity(), 1).stream()
                .findFirst()
                .orElse(self());
    }

    /**
     * Takes note of the owner that took a shard over.
     *
     * @param shard its number
     * @param owner the node, empty if it is not known
     */
    public void learn(int shard, String owner) {
        knownOwners.set(shard, owner.isEmpty() ? null : owner);
    }

    /**
     * Takes note that an owner answered or did not.
     *
     * @param shard the number of the shard
     * @param answered whether it answered
     */
    public void heard(int shard, boolean answered) {
        if (answered) {
            lostReplies.set(shard, 0);
        } else if (lostReplies.incrementAndGet(shard) >= LOST_REPLIES_BEFORE_TAKEOVER) {
            takeOver(shard);
        }
    }

    /**
     * Takes note that a node could not be reached, so this node takes the shard over.
     *
     * @param shard its number
     */
    public void takeOver(int shard) {
        lostReplies.set(shard, 0);
        knownOwners.set(shard, self());
    }
}
