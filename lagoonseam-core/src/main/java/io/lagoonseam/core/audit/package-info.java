/** The catalogue of numbered events and the sink that records them. */
package io.lagoonseam.core.audit;
