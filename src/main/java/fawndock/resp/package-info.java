/**
 * The Redis serialization protocol (RESP), version 2, and 3 for writing: commands and replies are
 * read and written within limits. Every length is checked before memory is allocated for it. Opens
 * nothing: buffers in, values out.
 */
package fawndock.resp;
