package io.lagoonseam.core.forward;

import java.util.Collection;
import java.util.Optional;

/** Selects the worker for a request. */
@FunctionalInterface
public interface UpstreamChooser {

    /**
     * Selects a worker.
     *
     * @param request the request
     * @param workers the candidates; ejected workers are among them only if a half-open probe is due or no other worker
     *     is available
     * @return the choice, or empty if the request should wait
     */
    Optional<Choice> choose(ChoiceRequest request, Collection<UpstreamState> workers);

    /**
     * The selected worker.
     *
     * @param worker the worker
     * @param unreadTokens the expected number of unread prompt tokens, that is, those that it has to read
     * @param copyFrom the worker that is presumed to have cached the prefix segments that the selected one lacks; empty
     *     if none are to be copied
     * @param reason a keyword for the log that gives the reason
     */
    record Choice(UpstreamState worker, long unreadTokens, Optional<UpstreamState> copyFrom, String reason) {}
}
