/** Provides the commands that validate, apply and print file sets of the configuration. */
package io.lagoonseam.cli.config;
