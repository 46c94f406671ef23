/** Time and randomness as interfaces, so that decisions can run on a virtual clock with a fixed seed. */
package io.lagoonseam.core.time;
