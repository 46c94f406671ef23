package io.lagoonseam.entry.configuration.fleet;

import io.lagoonseam.core.membership.Member;
import io.lagoonseam.core.membership.MemberDirectory;
import io.lagoonseam.core.membership.MemberState;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The members of one data centre, of which all nodes have the same view. */
public final class FakeDirectory {

    private final String dataCentre;
    private final Map<String, Member> live = new LinkedHashMap<>();
    private final List<Runnable> listeners = new ArrayList<>();

    public FakeDirectory(String dataCentre) {
        this.dataCentre = dataCentre;
    }

    private Member member(String nodeId) {
        return new Member(nodeId, dataCentre, "127.0.0.1", 1, 0, MemberState.ALIVE);
    }

    public void join(String nodeId) {
        live.put(nodeId, member(nodeId));
        List.copyOf(listeners).forEach(Runnable::run);
    }

    public void leave(String nodeId) {
        live.remove(nodeId);
        List.copyOf(listeners).forEach(Runnable::run);
    }

    public MemberDirectory viewOf(String nodeId) {
        return new MemberDirectory() {
            @Override
            public Member self() {
                return member(nodeId);
            }

            @Override
            public List<Member> liveMembers() {
                return List.copyOf(live.values());
            }

            @Override
            public void onChange(Runnable listener) {
                listeners.add(listener);
            }
        };
    }
}
