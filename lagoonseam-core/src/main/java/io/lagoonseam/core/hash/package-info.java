/** Hashing by which all nodes agree without talking: who holds a role, which items belong to whom. */
package io.lagoonseam.core.hash;
