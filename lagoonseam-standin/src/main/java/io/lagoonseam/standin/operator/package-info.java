/** Provides settings files, store records and request headers for tests and demos. */
package io.lagoonseam.standin.operator;
