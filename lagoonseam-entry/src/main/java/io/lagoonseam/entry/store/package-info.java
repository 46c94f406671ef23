/** The platform's object store as the entry node uses it: collections that are listed, watched and written. */
package io.lagoonseam.entry.store;
