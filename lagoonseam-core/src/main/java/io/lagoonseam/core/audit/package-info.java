/** Catalogue of numbered events, and the sinks and histories that record events and decisions. */
package io.lagoonseam.core.audit;
