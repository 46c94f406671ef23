/** A stand-in of the platform's store of objects. */
package io.lagoonseam.standin.store;
