/**
 * Settings files: the line format, its errors, and the reader of the gateway's own settings. Every
 * error of a file is found before anything starts. Opens no socket, reads no clock and depends on
 * no other package of the program but the policy's configuration.
 */
package fawndock.settings;
