/** Operators' files: reading, checking and keeping them on the platform. */
package io.lagoonseam.entry.configuration;
