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

/** Maps operation keys to shards, and shards to their presumed owners. Thread-safe. */
public final class ShardRoutes {

    private static final Hasher64 HASHER = Hashing.komihash5_0();

    /** The number of consecutive requests without a reply after which this node takes over a shard. */
    private static final int LOST_REPLIES_BEFORE_TAKEOVER = 3;

    private final MemberDirectory members;
    private final AtomicReferenceArray<String> knownOwners;
    private final AtomicIntegerArray lostReplies;

    /**
     * Creates routes without known owners.
     *
     * @param members the live members
     * @param shards the number of shards
     */
    public ShardRoutes(MemberDirectory members, int shards) {
        this.members = members;
        this.knownOwners = new AtomicReferenceArray<>(shards);
        this.lostReplies = new AtomicIntegerArray(shards);
        members.onChange(this::clearKnownOwners);
    }

    private void clearKnownOwners() {
        for (int shard = 0; shard < knownOwners.length(); shard++) {
            knownOwners.set(shard, null);
        }
    }

    /**
     * Returns the name of this node as a shard owner.
     *
     * @return the name
     */
    public String self() {
        return OwnerClient.nameOf(members.self());
    }

    /**
     * Returns whether to leave a shard with its owner: the owner is in another data centre, and this node has not
     * decided to take over the shard because the owner did not reply.
     *
     * @param shard the number of the shard
     * @param owner the name of the owner, empty if unknown
     * @return true to send requests to the owner, false to take over the shard
     */
    public boolean respectsOwner(int shard, String owner) {
        boolean inOtherDataCentre =
                !owner.isEmpty() && !owner.startsWith(members.self().dataCentre() + '/');
        return inOtherDataCentre && !self().equals(knownOwners.get(shard));
    }

    /**
     * Returns the shard of an operation, by the hash of its workspace and idempotency key.
     *
     * @param key the operation
     * @return the number of the shard, from 0
     */
    public int shardOf(OperationKey key) {
        long hash = HASHER.hashCharsToLong(key.workspace() + '\n' + key.key());
        return (int) Long.remainderUnsigned(hash, knownOwners.length());
    }

    /**
     * Returns the presumed owner of a shard.
     *
     * @param shard the number of the shard
     * @return the name of the known owner, or else of the live member with the highest rendezvous hash
     */
    public String ownerOf(int shard) {
        String knownOwner = knownOwners.get(shard);
        if (knownOwner != null) {
            return knownOwner;
        }
        List<String> names =
                members.liveMembers().stream().map(OwnerClient::nameOf).toList();
        return Rendezvous.subset("journal/" + shard, names, Function.identity(), 1).stream()
                .findFirst()
                .orElse(self());
    }

    /**
     * Sets the known owner of a shard.
     *
     * @param shard the number of the shard
     * @param owner the name of the owner, empty if unknown
     */
    public void setKnownOwner(int shard, String owner) {
        knownOwners.set(shard, owner.isEmpty() ? null : owner);
    }

    /**
     * Records whether the owner of a shard replied to a request. After {@code LOST_REPLIES_BEFORE_TAKEOVER} consecutive
     * requests without a reply, this node becomes the presumed owner.
     *
     * @param shard the number of the shard
     * @param replied whether the owner replied
     */
    public void recordReply(int shard, boolean replied) {
        if (replied) {
            lostReplies.set(shard, 0);
        } else if (lostReplies.incrementAndGet(shard) >= LOST_REPLIES_BEFORE_TAKEOVER) {
            takeOver(shard);
        }
    }

    /**
     * Makes this node the presumed owner of a shard, because the previous owner cannot be reached.
     *
     * @param shard the number of the shard
     */
    public void takeOver(int shard) {
        lostReplies.set(shard, 0);
        knownOwners.set(shard, self());
    }
}
