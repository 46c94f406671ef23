/** The settings of an entry node and their loader. */
package io.lagoonseam.entry.settings;
