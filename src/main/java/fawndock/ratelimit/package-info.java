/**
 * The gRPC rate limit service. {@code DescriptorMatcher} determines the quota that a descriptor
 * requests, and {@code RateLimitCall} combines the decisions of one call. The gateway's {@code
 * QuotaService} makes the quota decisions. Only the command line depends on this package.
 */
package fawndock.ratelimit;
