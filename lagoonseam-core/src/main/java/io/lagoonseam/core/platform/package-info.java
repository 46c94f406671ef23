/** The platform's object API as decisions see it. */
package io.lagoonseam.core.platform;
