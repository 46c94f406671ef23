/** How often and when failed work is tried again. */
package io.lagoonseam.core.retry;
