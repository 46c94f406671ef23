package io.lagoonseam.core.membership;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A probe, a request for an indirect probe, an exchange of the whole table, or the answer to one of them.
 *
 * @param acknowledged in the answer to an indirect probe, whether the target answered
 * @param target the member to probe indirectly
 * @param updates what the sender tells of members
 * @param values the numbers that ride on each message, by the key of their {@link PiggybackSource}
 */
public record MembershipMessage(
        boolean acknowledged, Optional<Member> target, List<Member> updates, Map<Integer, Long> values) {

    /** Copies the collections. */
    public MembershipMessage {
        updates = List.copyOf(updates);
        values = Map.copyOf(values);
    }
}
