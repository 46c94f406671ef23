/** Provides stand-ins for the workers that requests are forwarded to. */
package io.lagoonseam.standin.worker;
