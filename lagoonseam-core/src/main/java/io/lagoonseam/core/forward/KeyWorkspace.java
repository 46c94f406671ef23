package io.lagoonseam.core.forward;

import java.util.OptionalInt;

/**
 * The workspace that an API key belongs to.
 *
 * @param workspace its name
 * @param priority its priority, which takes precedence over that of the route; empty if it has none
 */
public record KeyWorkspace(String workspace, OptionalInt priority) {}
