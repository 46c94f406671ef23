/** TLS certificates and keys, and their renewal without a restart. */
package io.lagoonseam.entry.tls;
