/** The tables of the services and the way of a request through them. */
package io.lagoonseam.entry.dispatch;
