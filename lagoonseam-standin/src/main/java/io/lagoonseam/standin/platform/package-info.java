/** The stand-in for the platform: object API and VM list. */
package io.lagoonseam.standin.platform;
