/**
 * The gRPC rate limit service: {@code DescriptorMatcher} gives the quota that a descriptor asks
 * for, {@code RateLimitCall} combines the decisions of one call. It takes decisions from the
 * gateway's {@code QuotaService} and makes none about quotas; only the command line depends on it.
 */
package fawndock.ratelimit;
