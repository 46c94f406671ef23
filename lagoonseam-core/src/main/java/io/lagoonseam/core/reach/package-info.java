/** What a node concludes about its own connectivity to the workers of a service. Without I/O. */
package io.lagoonseam.core.reach;
