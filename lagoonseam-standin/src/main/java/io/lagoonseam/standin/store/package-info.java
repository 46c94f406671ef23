/** Provides the stand-in for the object store of the platform. */
package io.lagoonseam.standin.store;
