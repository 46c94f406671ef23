package io.lagoonseam.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Table of the members of this node's data centre with their presumed states. Not thread-safe. */
final class MemberTable {

    private final Map<String, Entry> entries = new TreeMap<>();
    private final UpdateQueue queue = new UpdateQueue();
    private final Map<String, Member> changed = new HashMap<>();
    private Member self;
    private boolean dirty = true;

    MemberTable(Member self) {
        this.self = self;
    }

    private static final class Entry {
        private Member member;
        private long changedAtMillis;

        private Entry(Member member, long nowMillis) {
            this.member = member;
            this.changedAtMillis = nowMillis;
        }
    }

    Member self() {
        return self;
    }

    void replaceSelf(Member member) {
        self = member;
        dirty = true;
        queue.add(self.nodeId());
    }

    /** Merges an update from another node. Updates that do not override the known state are ignored. */
    void merge(Member update, long nowMillis) {
        if (!update.dataCentre().equals(self.dataCentre())) {
            return;
        }
        if (update.nodeId().equals(self.nodeId())) {
            refute(update);
            return;
        }
        Entry entry = entries.get(update.nodeId());
        if (entry == null) {
            if (update.state() != MemberState.DEAD) {
                entries.put(update.nodeId(), new Entry(update, nowMillis));
                recordChange(update);
            }
        } else if (overrides(update, entry.member)) {
            entry.member = update;
            entry.changedAtMillis = nowMillis;
            recordChange(update);
        }
    }

    /** Refutes an update that contradicts the state of this node, with a higher incarnation. */
    private void refute(Member update) {
        boolean same = update.state() == self.state()
                && update.incarnation() == self.incarnation()
                && update.port() == self.port()
                && update.host().equals(self.host());
        if (!same && update.incarnation() >= self.incarnation()) {
            replaceSelf(withIncarnation(self, update.incarnation() + 1));
        }
    }

    private void recordChange(Member member) {
        dirty = true;
        queue.add(member.nodeId());
        changed.put(member.nodeId(), member);
    }

    /** Returns whether anything has changed since the last call. */
    boolean takeDirty() {
        boolean taken = dirty;
        dirty = false;
        return taken;
    }

    /** Returns the other members that were added or updated since the last call. */
    List<Member> takeChanges() {
        List<Member> taken = List.copyOf(changed.values());
        changed.clear();
        return taken;
    }

    /**
     * Returns whether an update overrides the known state: by a higher incarnation or, at the same one, a higher rank.
     */
    static boolean overrides(Member update, Member current) {
        if (update.incarnation() != current.incarnation()) {
            return update.incarnation() > current.incarnation();
        }
        return rank(update.state()) > rank(current.state());
    }

    private static int rank(MemberState state) {
        return switch (state) {
            case ALIVE -> 0;
            case SUSPECT -> 1;
            case LEAVING -> 2;
            case DEAD -> 3;
        };
    }

    void setState(String nodeId, long incarnation, MemberState state, long nowMillis) {
        find(nodeId)
                .filter(member -> member.incarnation() == incarnation)
                .ifPresent(member -> merge(withState(member, state), nowMillis));
    }

    /**
     * Declares members dead that did not refute a suspicion in time, and removes dead members after their retention.
     */
    void expire(long nowMillis, MembershipTimings timings) {
        for (Entry entry : List.copyOf(entries.values())) {
            long ageMillis = nowMillis - entry.changedAtMillis;
            MemberState state = entry.member.state();
            if (state == MemberState.SUSPECT && ageMillis >= timings.suspicionMillis()) {
                merge(withState(entry.member, MemberState.DEAD), nowMillis);
            } else if (state == MemberState.DEAD && ageMillis >= timings.deadRetentionMillis()) {
                entries.remove(entry.member.nodeId());
                queue.remove(entry.member.nodeId());
                dirty = true;
            }
        }
    }

    /** Extends suspicion timeouts and retention by the time for which this process was paused. */
    void compensatePause(long pauseMillis) {
        entries.values().forEach(entry -> entry.changedAtMillis += pauseMillis);
    }

    Optional<Member> find(String nodeId) {
        if (nodeId.equals(self.nodeId())) {
            return Optional.of(self);
        }
        return Optional.ofNullable(entries.get(nodeId)).map(entry -> entry.member);
    }

    /** Returns the other members in the given states, ordered by id. */
    List<Member> others(Collection<MemberState> states) {
        return entries.values().stream()
                .map(entry -> entry.member)
                .filter(member -> states.contains(member.state()))
                .toList();
    }

    /** Returns all members, this node first. */
    List<Member> all() {
        List<Member> all = new ArrayList<>();
        all.add(self);
        entries.values().forEach(entry -> all.add(entry.member));
        return all;
    }

    /** Returns the members that take roles, ordered by id. */
    List<Member> live() {
        return all().stream()
                .filter(member -> member.state() == MemberState.ALIVE || member.state() == MemberState.SUSPECT)
                .sorted(Comparator.comparing(Member::nodeId))
                .toList();
    }

    /**
     * Returns the updates to piggyback on one message. If the receiver is not presumed alive, its own state is
     * included, so that it can refute it.
     */
    List<Member> updatesFor(String receiverId, int limit) {
        Map<String, Member> updates = new HashMap<>();
        find(receiverId)
                .filter(member -> member.state() != MemberState.ALIVE && !receiverId.equals(self.nodeId()))
                .ifPresent(member -> updates.put(receiverId, member));
        for (String nodeId : queue.take(limit, entries.size() + 1)) {
            find(nodeId).ifPresent(member -> updates.put(nodeId, member));
        }
        return List.copyOf(updates.values());
    }

    static Member withState(Member member, MemberState state) {
        return new Member(
                member.nodeId(), member.dataCentre(), member.host(), member.port(), member.incarnation(), state);
    }

    static Member withIncarnation(Member member, long incarnation) {
        return new Member(
                member.nodeId(), member.dataCentre(), member.host(), member.port(), incarnation, member.state());
    }
}
