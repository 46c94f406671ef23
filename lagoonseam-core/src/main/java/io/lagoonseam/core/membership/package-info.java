/** Which entry nodes exist and answer. */
package io.lagoonseam.core.membership;
