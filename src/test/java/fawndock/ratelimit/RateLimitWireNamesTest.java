package fawndock.ratelimit;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.protobuf.Descriptors.Descriptor;
import fawndock.ratelimit.proto.RateLimitDescriptor;
import fawndock.ratelimit.proto.RateLimitRequest;
import fawndock.ratelimit.proto.RateLimitResponse;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Golden list of the names and field numbers of the public gRPC rate limit service. */
class RateLimitWireNamesTest {
  private static String fields(Descriptor message) {
    return message.getFields().stream()
        .map(field -> field.getName() + "=" + field.getNumber())
        .toList()
        .toString();
  }

  @Test
  void serviceAndMethodNamesMatchThePublicDefinition() {
    assertEquals(
        "envoy.service.ratelimit.v3.RateLimitService/ShouldRateLimit",
        RateLimitService.SHOULD_RATE_LIMIT.serviceName().fullyQualifiedName()
            + "/"
            + RateLimitService.SHOULD_RATE_LIMIT.methodName());
  }

  @Test
  void fieldNamesAndNumbersMatchThePublicDefinition() {
    assertEquals(
        List.of(
            "[domain=1, descriptors=2, hits_addend=3]",
            "[entries=1, limit=2, hits_addend=3]",
            "[key=1, value=2]",
            "[overall_code=1, statuses=2, response_headers_to_add=3]",
            "[code=1, current_limit=2, limit_remaining=3, duration_until_reset=4]",
            "[requests_per_unit=1, unit=2, name=3]"),
        List.of(
            fields(RateLimitRequest.getDescriptor()),
            fields(RateLimitDescriptor.getDescriptor()),
            fields(RateLimitDescriptor.Entry.getDescriptor()),
            fields(RateLimitResponse.getDescriptor()),
            fields(RateLimitResponse.DescriptorStatus.getDescriptor()),
            fields(RateLimitResponse.RateLimit.getDescriptor())));
  }

  @Test
  void responseCodesMatchThePublicDefinition() {
    assertEquals(
        List.of("UNKNOWN", "OK", "OVER_LIMIT"),
        RateLimitResponse.Code.getDescriptor().getValues().stream()
            .map(value -> value.getName())
            .toList());
  }
}
