package io.lagoonseam.bench.propagation;

import io.lagoonseam.core.membership.Member;
import io.lagoonseam.core.membership.MemberDirectory;
import io.lagoonseam.core.membership.MemberState;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** Holds the live members of one data centre. All nodes of the data centre see the same members. */
final class DataCentreDirectory {

    private final String dataCentre;
    private final Map<String, Member> live = new ConcurrentSkipListMap<>();
    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();

    DataCentreDirectory(String dataCentre) {
        this.dataCentre = dataCentre;
    }

    private Member member(String nodeId) {
        return new Member(nodeId, dataCentre, "127.0.0.1", 1, 0, MemberState.ALIVE);
    }

    void join(String nodeId) {
        live.put(nodeId, member(nodeId));
        listeners.forEach(Runnable::run);
    }

    void leave(String nodeId) {
        live.remove(nodeId);
        listeners.forEach(Runnable::run);
    }

    List<Member> members() {
        return List.copyOf(live.values());
    }

    MemberDirectory viewOf(String nodeId) {
        return new MemberDirectory() {
            @Override
            public Member self() {
                return member(nodeId);
            }

            @Override
            public List<Member> liveMembers() {
                return members();
            }

            @Override
            public void onChange(Runnable listener) {
                listeners.add(listener);
            }
        };
    }
}
