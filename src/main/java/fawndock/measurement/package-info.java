/**
 * What a trace says, in figures and by the second: the same for a run of the emulator and for one
 * over sockets, so that both can be laid side by side. Pure: it reads what was seen and nothing
 * else.
 */
package fawndock.measurement;
