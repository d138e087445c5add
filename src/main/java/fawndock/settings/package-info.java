/**
 * The settings of the daemon: a line-based format, a keyword and its arguments on a line. Reading
 * finds every mistake before anything starts. Nothing here opens a socket, keeps time or decides
 * about requests.
 */
package fawndock.settings;
