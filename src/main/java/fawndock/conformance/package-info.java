/**
 * The judge of the five rules: what was seen to cross the sockets, or in the emulator the ways, and
 * whether a rule was broken. Below drills, laboratory and stand-ins, which all use it; it opens
 * nothing, keeps no time and knows none of them.
 */
package fawndock.conformance;
