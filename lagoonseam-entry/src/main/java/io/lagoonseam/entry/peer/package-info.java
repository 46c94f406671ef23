/** Connections between entry nodes and how nodes find each other. */
package io.lagoonseam.entry.peer;
