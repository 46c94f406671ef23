/** Interfaces to the platform's object store and VM list, as used by the decision logic. */
package io.lagoonseam.core.platform;
