/** The commands about file sets. */
package io.lagoonseam.cli.config;
