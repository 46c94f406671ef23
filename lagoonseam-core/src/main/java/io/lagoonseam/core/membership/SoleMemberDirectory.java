package io.lagoonseam.core.membership;

import java.util.List;

/** The directory of a node that has no peers. */
public final class SoleMemberDirectory implements MemberDirectory {

    private final Member self;

    /**
     * Creates a directory.
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
        // The only member never changes.
    }
}
