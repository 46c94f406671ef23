/** Which worker takes a request. */
package io.lagoonseam.core.routing;
