/** Provides the command line program and its commands. */
package io.lagoonseam.cli;
