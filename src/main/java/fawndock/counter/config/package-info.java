/**
 * The settings of the counter server and the reader of its settings file. The package opens no
 * sockets and no files other than settings files; errors are reported as {@link
 * fawndock.settings.ConfigurationException}.
 */
package fawndock.counter.config;
