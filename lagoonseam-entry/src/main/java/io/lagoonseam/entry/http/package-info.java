/** What HTTP clients of different peers share. */
package io.lagoonseam.entry.http;
