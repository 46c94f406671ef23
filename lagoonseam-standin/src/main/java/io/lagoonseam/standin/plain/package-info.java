/** Provides the stand-in for a plain service whose actions must not run twice. */
package io.lagoonseam.standin.plain;
