/** The platform's object store as nodes use it: collections that are listed, watched and written. */
package io.lagoonseam.entry.store;
