/** Certificates and keys, and their renewal while the node runs. */
package io.lagoonseam.entry.tls;
