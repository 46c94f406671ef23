/** Stand-ins of the workers that requests are forwarded to. */
package io.lagoonseam.standin.worker;
