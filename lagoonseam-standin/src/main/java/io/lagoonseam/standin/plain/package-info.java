/** The stand-in for a plain service whose actions may not be repeated. */
package io.lagoonseam.standin.plain;
