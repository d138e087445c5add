package fawndock.policy.routing;

/**
 * The endpoints that this instance keeps to (deterministic subsetting), so that it knows them well
 * enough to notice slow or failing ones. Instances with adjacent indexes share most of their
 * subsets, so that all endpoints are covered evenly. May load them unevenly where traffic is uneven
 * among instances.
 */
final class EndpointSubset {
  private static final int MIN_ENDPOINTS = 8;
  private static final int MIN_INSTANCES_PER_ENDPOINT = 4;

  private final int instanceIndex;
  private final int instanceCount;

  EndpointSubset(int instanceIndex, int instanceCount) {
    this.instanceIndex = instanceIndex;
    this.instanceCount = Math.max(1, instanceCount);
  }

  /** How many endpoints it has, of so many in all. */
  int size(int endpointCount) {
    return Math.min(
        endpointCount,
        Math.max(MIN_ENDPOINTS, MIN_INSTANCES_PER_ENDPOINT * endpointCount / instanceCount));
  }

  /** The index of its first endpoint. */
  int firstIndex(int endpointCount) {
    return (int) ((long) instanceIndex * endpointCount / instanceCount);
  }
}
