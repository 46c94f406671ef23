package io.lagoonseam.core.forward;

import java.util.Collection;
import java.util.Optional;

/** Chooses the worker of a request. */
@FunctionalInterface
public interface UpstreamChooser {

    /**
     * Chooses a worker.
     *
     * @param request the request
     * @param workers those that may get it; not all of them need to be trusted
     * @return the choice, or empty if none should get it now
     */
    Optional<Choice> choose(ChoiceRequest request, Collection<UpstreamState> workers);

    /**
     * A chosen worker.
     *
     * @param worker the worker
     * @param tokensToRead the prompt tokens that it is expected to have to read
     * @param copyFrom the worker that is expected to keep shared parts of the prompt which the chosen one lacks
     * @param reason why, in a word, for the log
     */
    record Choice(UpstreamState worker, long tokensToRead, Optional<UpstreamState> copyFrom, String reason) {}
}
