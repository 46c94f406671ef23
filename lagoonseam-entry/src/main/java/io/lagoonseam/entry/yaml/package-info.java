/** Parsing of YAML documents with line numbers, and their validation against a JSON schema. */
package io.lagoonseam.entry.yaml;
