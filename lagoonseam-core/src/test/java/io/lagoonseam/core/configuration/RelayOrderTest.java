package io.lagoonseam.core.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.lagoonseam.core.membership.Member;
import io.lagoonseam.core.membership.MemberState;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.testng.annotations.Test;

public final class RelayOrderTest {

    private static List<Member> members(int count) {
        List<Member> members = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            members.add(new Member("entry-" + index, "dc", "127.0.0.1", 1, 0, MemberState.ALIVE));
        }
        return members;
    }

    public static final class Order {

        @Test
        public void doesNotDependOnTheOrderOfMembers() {
            List<Member> members = members(50);
            RelayOrder expected = RelayOrder.of(members);
            Collections.shuffle(members, new Random(1));
            assertEquals(RelayOrder.of(members), expected);
        }

        @Test
        public void removalOfANodeKeepsTheOrderOfTheOthers() {
            List<Member> members = members(50);
            List<String> expected = new ArrayList<>(RelayOrder.of(members).nodeIds());
            expected.remove(members.get(7).nodeId());
            members.remove(7);
            assertEquals(RelayOrder.of(members).nodeIds(), expected);
        }
    }

    public static final class Tree {

        @Test
        public void hasEveryNodeButTheRelaysAsAChildOnce() {
            for (int count = 1; count < 70; count++) {
                RelayOrder order = RelayOrder.of(members(count));
                List<String> reached = new ArrayList<>();
                order.nodeIds().forEach(nodeId -> reached.addAll(order.children(nodeId)));
                Set<String> expected =
                        new TreeSet<>(order.nodeIds().subList(Math.min(RelayOrder.RELAYS, count), count));
                assertEquals(new TreeSet<>(reached), expected);
                assertEquals(reached.size(), expected.size());
            }
        }
    }

    public static final class ActiveRelays {

        private final RelayOrder order = RelayOrder.of(members(10));

        @Test
        public void areTheFirstTwoNodesThatReachThePlatform() {
            assertEquals(order.activeRelays(nodeId -> true), order.nodeIds().subList(0, 2));
        }

        @Test
        public void includeTheNextNodeIfOneIsCutOff() {
            String first = order.nodeIds().get(0);
            assertEquals(
                    order.activeRelays(nodeId -> !nodeId.equals(first)),
                    order.nodeIds().subList(0, 3));
        }

        @Test
        public void areAtMostFourDuringAPlatformOutage() {
            assertTrue(order.activeRelays(nodeId -> false).size() == RelayOrder.CANDIDATES);
        }
    }
}
