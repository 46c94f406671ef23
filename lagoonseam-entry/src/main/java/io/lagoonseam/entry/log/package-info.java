/** Log output of numbered events. */
package io.lagoonseam.entry.log;
