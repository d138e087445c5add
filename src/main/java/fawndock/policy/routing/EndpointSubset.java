package fawndock.policy.routing;

/**
 * Computes the subset of endpoints that this instance uses (deterministic subsetting), so that it
 * sends each enough requests to detect slow or failing ones. Instances with adjacent indexes share
 * most of their subsets, so that all endpoints are covered evenly; the load may be uneven where
 * traffic is uneven among instances. Instances of this class are immutable.
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

  /** Returns the number of endpoints in the subset, out of this total. */
  int size(int endpointCount) {
    return Math.min(
        endpointCount,
        Math.max(MIN_ENDPOINTS, MIN_INSTANCES_PER_ENDPOINT * endpointCount / instanceCount));
  }

  /** Returns the index of the first endpoint of the subset. */
  int firstIndex(int endpointCount) {
    return (int) ((long) instanceIndex * endpointCount / instanceCount);
  }
}
