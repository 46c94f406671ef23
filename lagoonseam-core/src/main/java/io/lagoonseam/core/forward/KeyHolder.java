package io.lagoonseam.core.forward;

import java.util.OptionalInt;

/**
 * The workspace that holds a key.
 *
 * @param workspace its name
 * @param priority its rank, which goes before that of the route; empty if it has none
 */
public record KeyHolder(String workspace, OptionalInt priority) {}
