/** Interfaces for requests between entry nodes, independent of the network layer. */
package io.lagoonseam.core.peer;
