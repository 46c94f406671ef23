/** The settings of one entry node. */
package io.lagoonseam.entry.settings;
