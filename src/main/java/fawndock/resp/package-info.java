/**
 * The Redis serialization protocol, version 2 (the writer also 3): commands and replies read and
 * written within limits. Every length is checked before memory is taken for it. Opens nothing and
 * knows no caller: buffers in, values out.
 */
package fawndock.resp;
