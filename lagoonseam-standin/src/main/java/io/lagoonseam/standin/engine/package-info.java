/** Provides the stand-in for a model engine. */
package io.lagoonseam.standin.engine;
