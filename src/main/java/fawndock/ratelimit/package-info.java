/**
 * The gRPC rate limit service: what a descriptor means ({@code DescriptorMatcher}, pure) and the
 * service itself. It asks the gateway's {@code QuotaService} and decides nothing about quotas; no
 * other package depends on it but the command line.
 */
package fawndock.ratelimit;
