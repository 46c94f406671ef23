/** Callers as peers: the chat-completions interface and the way to plain services. */
package io.lagoonseam.entry.caller;
