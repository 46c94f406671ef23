/** The command line. */
package io.lagoonseam.cli;
