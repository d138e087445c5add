/**
 * The settings of the counter service and the reader of its settings file. Opens nothing; errors
 * are {@link fawndock.settings.ConfigurationException}.
 */
package fawndock.counter.config;
