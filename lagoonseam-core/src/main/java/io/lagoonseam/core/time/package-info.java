/**
 * Interfaces of time sources, so that decision logic can run repeatably on a virtual clock with a fixed random seed.
 */
package io.lagoonseam.core.time;
