/** Connections between entry nodes and the discovery of members. */
package io.lagoonseam.entry.peer;
