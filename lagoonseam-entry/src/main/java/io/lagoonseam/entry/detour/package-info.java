/** How a node that is cut off from workers finds nodes that reach them, through which it sends its requests. */
package io.lagoonseam.entry.detour;
