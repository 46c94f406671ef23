package io.lagoonseam.core.membership;

import io.lagoonseam.core.hash.Rendezvous;
import java.util.List;

/** Gives roles to members so that each node finds the same holders, and few roles move when a member comes or goes. */
public final class RoleHolders {

    private RoleHolders() {}

    /**
     * Finds the holders of a role.
     *
     * @param members the members that take roles
     * @param role the name of the role
     * @param count the number of holders
     * @return the holders, the first one first; fewer if there are not so many members
     */
    public static List<Member> holders(List<Member> members, String role, int count) {
        return Rendezvous.order(role, members, Member::nodeId).stream()
                .limit(count)
                .toList();
    }

    /**
     * Tells whether a node holds a role.
     *
     * @param directory the members as the node knows them
     * @param role the name of the role
     * @param count the number of holders
     * @return whether this node is one of them
     */
    public static boolean holds(MemberDirectory directory, String role, int count) {
        String selfId = directory.self().nodeId();
        return holders(directory.liveMembers(), role, count).stream()
                .anyMatch(member -> member.nodeId().equals(selfId));
    }
}
