/** YAML documents that remember their lines, and their check against a JSON schema. */
package io.lagoonseam.entry.yaml;
