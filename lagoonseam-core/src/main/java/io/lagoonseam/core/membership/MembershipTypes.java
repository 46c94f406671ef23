package io.lagoonseam.core.membership;

/** The numbers of the messages of membership, of the range 1 to 19. */
public final class MembershipTypes {

    /** A direct probe. */
    public static final int PROBE = 1;
    /** A request to probe another member. */
    public static final int INDIRECT_PROBE = 2;
    /** An exchange of whole tables, as at a join. */
    public static final int EXCHANGE = 3;

    private MembershipTypes() {}
}
