/**
 * The gRPC rate limit service: what a descriptor means ({@code Mapping}, pure) and the service
 * itself. It asks the gateway's {@code QuotaHost} and decides nothing about quotas; no other
 * package depends on it but the command line.
 */
package fawndock.ratelimit;
