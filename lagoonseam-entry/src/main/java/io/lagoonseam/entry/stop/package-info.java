/** The planned stop of a node. */
package io.lagoonseam.entry.stop;
