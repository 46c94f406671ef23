/** Interfaces to the platform's object store and VM list, independent of the HTTP client. */
package io.lagoonseam.core.platform;
