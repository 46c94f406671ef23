package io.lagoonseam.bench.membership;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;

/**
 * The measurements at one size of a data centre.
 *
 * @param members the number of nodes in the data centre
 * @param allKnownMillis the time in milliseconds from the start of the last node until every node knew all members
 * @param deadFoundMillis the time in milliseconds from a crash until all other nodes had removed the node
 * @param leaveKnownMillis the time in milliseconds from an announced leave until all other nodes had removed the node
 * @param bytesPerSecond the bytes per second that one node sends and receives in steady state
 * @param coreShare the share of a core that one node uses in steady state; 1 is a whole core
 * @param heapMegabytes the heap in megabytes that one node uses
 * @param falseDeaths the number of times that a running node was declared dead
 * @param unfinished the number of steps that did not end within 15,000 ms
 */
record MembershipFigures(
        int members,
        long allKnownMillis,
        long deadFoundMillis,
        long leaveKnownMillis,
        double bytesPerSecond,
        double coreShare,
        double heapMegabytes,
        long falseDeaths,
        long unfinished) {

    long violations() {
        return falseDeaths + unfinished;
    }

    ObjectNode toJson() {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("members", members);
        json.put("allKnownMillis", allKnownMillis);
        json.put("deadFoundMillis", deadFoundMillis);
        json.put("leaveKnownMillis", leaveKnownMillis);
        json.put("bytesPerSecond", bytesPerSecond);
        json.put("coreShare", coreShare);
        json.put("heapMegabytes", heapMegabytes);
        json.put("falseDeaths", falseDeaths);
        json.put("unfinished", unfinished);
        return json;
    }

    String toRow() {
        return String.format(
                Locale.ROOT,
                "| %d | %d | %d | %d | %.0f | %.4f | %.2f | %d |%n",
                members,
                allKnownMillis,
                deadFoundMillis,
                leaveKnownMillis,
                bytesPerSecond,
                coreShare,
                heapMegabytes,
                falseDeaths);
    }
}
