package io.lagoonseam.core.membership;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Message of the membership protocol: a probe, a request for an indirect probe, an exchange of full tables, or the
 * reply to one of them.
 *
 * @param acknowledged in the reply to an indirect probe, whether the target answered
 * @param target the member that the receiver is asked to probe
 * @param updates the membership updates that the sender disseminates
 * @param values the values piggybacked on the message, by the key of their {@link PiggybackSource}
 */
public record MembershipMessage(
        boolean acknowledged, Optional<Member> target, List<Member> updates, Map<Integer, Long> values) {

    /** Makes immutable copies of the collections. */
    public MembershipMessage {
        updates = List.copyOf(updates);
        values = Map.copyOf(values);
    }
}
