package io.lagoonseam.core.membership;

import io.lagoonseam.core.hash.Rendezvous;
import java.util.List;

/**
 * Assigns roles to members by rendezvous hashing. Nodes with the same view of the members find the same holders, and
 * few roles move when a member joins or leaves.
 */
public final class RoleHolders {

    private RoleHolders() {}

    /**
     * Returns the holders of a role.
     *
     * @param members the members that take roles
     * @param role the name of the role
     * @param count the number of holders
     * @return the holders by descending priority; fewer than {@code count} if there are not enough members
     */
    public static List<Member> holders(List<Member> members, String role, int count) {
        return Rendezvous.sortByRank(role, members, Member::nodeId).stream()
                .limit(count)
                .toList();
    }

    /**
     * Returns whether this node holds a role.
     *
     * @param directory the directory of this node
     * @param role the name of the role
     * @param count the number of holders
     * @return true if this node is among the holders
     */
    public static boolean holds(MemberDirectory directory, String role, int count) {
        String selfId = directory.self().nodeId();
        return holders(directory.liveMembers(), role, count).stream()
                .anyMatch(member -> member.nodeId().equals(selfId));
    }
}
