/** Reading, checking and storage of operators' configuration files, and their propagation to the nodes. */
package io.lagoonseam.entry.configuration;
