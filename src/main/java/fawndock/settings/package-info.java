/**
 * Settings files: the line format, its errors, and the reader of the gateway's own settings. All
 * errors of a file are reported before the process starts to serve. The package opens no socket,
 * reads no clock and depends on no other package of the program except the policy's configuration.
 */
package fawndock.settings;
