/** The read-only HTTP interface for operators: health, metrics, status and recorded events. */
package io.lagoonseam.entry.operator;
