package io.lagoonseam.core.membership;

import java.util.List;

/** The members that a node knows. */
public interface MemberDirectory {

    /**
     * Returns this node.
     *
     * @return the member
     */
    Member self();

    /**
     * Returns the members that take roles: alive or suspect, this node among them unless it leaves.
     *
     * @return the members of this node's data centre
     */
    List<Member> liveMembers();

    /**
     * Adds a listener that hears of each change of {@link #liveMembers()}.
     *
     * @param listener runs after the change, without any lock held
     */
    void onChange(Runnable listener);
}
