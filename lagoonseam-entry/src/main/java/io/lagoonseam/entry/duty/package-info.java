/** Duties towards the platform that one node holds at a time. */
package io.lagoonseam.entry.duty;
