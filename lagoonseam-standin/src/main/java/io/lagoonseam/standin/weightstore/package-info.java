/** The stand-in for the weight store. */
package io.lagoonseam.standin.weightstore;
