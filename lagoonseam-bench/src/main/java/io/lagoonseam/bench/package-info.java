/** Load, experiments and reports. */
package io.lagoonseam.bench;
