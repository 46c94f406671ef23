/** The operators' file set as immutable data, and the checks that hold across its files. */
package io.lagoonseam.core.configuration;
