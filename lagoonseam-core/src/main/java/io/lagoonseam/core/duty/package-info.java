/** Duties towards the platform that one node holds at a time, and what they need: counts by window, and true time. */
package io.lagoonseam.core.duty;
