/** Which request is served next, and which is refused. */
package io.lagoonseam.core.admission;
