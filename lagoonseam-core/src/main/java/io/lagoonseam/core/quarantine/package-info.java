/** Which requests crash workers, as far as the crashes, and the whole answers since, can tell. */
package io.lagoonseam.core.quarantine;
