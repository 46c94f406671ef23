package io.lagoonseam.bench.membership;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;

/**
 * What was measured at one size.
 *
 * @param members the nodes of the data centre
 * @param allKnownMillis the time from the start of the last node until all knew all
 * @param deadFoundMillis the time from a crash until all others held the node dead
 * @param leaveKnownMillis the time from an announced leave until all others knew
 * @param bytesPerSecond bytes sent and received by one node in steady state
 * @param coreShare the part of a core that one node took in steady state
 * @param heapMegabytes the heap that one node takes
 * @param falseDeaths nodes held dead that were not
 * @param unfinished steps that did not end within their limit
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
