/** Numbered events as log lines. */
package io.lagoonseam.entry.log;
