/** Provides the stand-in for the platform with its object API and its list of VMs. */
package io.lagoonseam.standin.platform;
