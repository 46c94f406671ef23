/** Network links between the parties of a deployment, which tests can cut. */
package io.lagoonseam.standin.link;
