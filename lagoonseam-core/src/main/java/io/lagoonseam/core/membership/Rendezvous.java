package io.lagoonseam.core.membership;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Comparator;
import java.util.List;

/** Gives roles to members so that each node finds the same holders, and few roles move when a member comes or goes. */
public final class Rendezvous {

    private Rendezvous() {}

    /**
     * Finds the holders of a role.
     *
     * @param members the members that take roles
     * @param role the name of the role
     * @param count the number of holders
     * @return the holders, the first one first; fewer if there are not so many members
     */
    public static List<Member> holders(List<Member> members, String role, int count) {
        return members.stream()
                .sorted(Comparator.comparingLong((Member member) -> -weight(member, role))
                        .thenComparing(Member::nodeId))
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

    private static long weight(Member member, String role) {
        return Hashing.komihash5_0().hashCharsToLong(role + "/" + member.nodeId()) >>> 1;
    }
}
