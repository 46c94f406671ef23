package io.lagoonseam.core.membership;

import java.util.List;

/** Directory of the entry nodes in the data centre of this node. */
public interface MemberDirectory {

    /**
     * Returns this node.
     *
     * @return this node as a member
     */
    Member self();

    /**
     * Returns the members that take roles, which are the alive and the suspected ones. This node is included unless it
     * is leaving.
     *
     * @return the members in this node's data centre
     */
    List<Member> liveMembers();

    /**
     * Adds a listener that is notified when a live member is added or removed or changes its address, but not when only
     * its state or incarnation changes.
     *
     * @param listener called after the change, without any lock held
     */
    void onChange(Runnable listener);
}
