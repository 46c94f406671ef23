package io.lagoonseam.core.membership;

import java.util.List;

/** Member directory of a node without peers. */
public final class SoleMemberDirectory implements MemberDirectory {

    private final Member self;

    /**
     * Creates a directory with a single member.
     *
     * @param self the only member
     */
    public SoleMemberDirectory(Member self) {
        this.self = self;
    }

    @Override
    public Member self() {
        return self;
    }

    @Override
    public List<Member> liveMembers() {
        return List.of(self);
    }

    @Override
    public void onChange(Runnable listener) {
        // The single member never changes.
    }
}
