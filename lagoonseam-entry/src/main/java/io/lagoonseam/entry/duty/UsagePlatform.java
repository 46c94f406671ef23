package io.lagoonseam.entry.duty;

import io.vertx.core.Future;
import java.util.Map;

/** Takes usage reports. Every returned future succeeds. */
public interface UsagePlatform {

    /**
     * Sends the usage of one window. An exact repeat does no harm.
     *
     * @param holder the name of the node that holds the duty
     * @param token the token under which it holds it
     * @param window the number of the window
     * @param counts the counts by workspace
     * @return whether the platform has accepted the report; if not, it may have all the same
     */
    Future<Boolean> report(String holder, long token, long window, Map<String, Long> counts);
}
