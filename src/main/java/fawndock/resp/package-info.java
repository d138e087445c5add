/**
 * Reads and writes commands and replies of the Redis serialization protocol (RESP) within limits:
 * version 2 for reading, versions 2 and 3 for writing. Every length is checked before memory is
 * allocated for it. The package works on buffers and performs no I/O.
 */
package fawndock.resp;
