package io.lagoonseam.core.membership;

/** Message type numbers of the membership protocol, which uses the range 1 to 19. */
public final class MembershipTypes {

    /** A direct probe. */
    public static final int PROBE = 1;
    /** A request to probe another member on behalf of the sender. */
    public static final int INDIRECT_PROBE = 2;
    /** An exchange of full membership tables, for example when a node joins. */
    public static final int EXCHANGE = 3;

    private MembershipTypes() {}
}
