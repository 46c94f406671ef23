/** Messages between nodes and their MessagePack codecs. */
package io.lagoonseam.wire;
