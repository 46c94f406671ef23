package io.lagoonseam.entry.forward;

/** Who has chosen the worker of a request. */
enum DecidedBy {
    /** The home of the service, for all nodes. */
    HOME,
    /** The node that took the request. */
    NODE
}
