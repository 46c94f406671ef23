/**
 * The operators' configuration file set as immutable data, its generations and the order of the relays that distribute
 * them.
 */
package io.lagoonseam.core.configuration;
