/** Selection of the worker that a request is sent to, with outlier detection and load limits. */
package io.lagoonseam.core.routing;
