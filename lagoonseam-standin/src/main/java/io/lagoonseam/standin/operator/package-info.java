/** What operators, the platform and callers write, for tests and demos. */
package io.lagoonseam.standin.operator;
