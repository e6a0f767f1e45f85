package org.almondslip.gateway;

import io.vertx.core.MultiMap;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.almondslip.directory.Organisation;

/** Builds the headers of requests to targets. */
final class TargetHeaders {

  private static final String CONTENT_LENGTH = "Content-Length";

  private TargetHeaders() {}

  /**
   * Returns the forwarded headers of the caller and the headers of this router.
   *
   * @param inbound the request of the caller
   * @param context the shared components of the router
   * @param targetId the id of the target
   * @param lastEventId the id of the last event that was forwarded
   * @return the headers
   */
  static MultiMap of(
      InboundRequest inbound,
      ForwardingContext context,
      String targetId,
      Optional<String> lastEventId) {
    MultiMap headers = MultiMap.caseInsensitiveMultiMap();
    Set<String> connectionOptions = HopByHopHeaders.connectionOptions(inbound.headers());
    inbound
        .headers()
        .forEach(
            (name, value) -> {
              if (!HopByHopHeaders.isHopByHop(name)
                  && !connectionOptions.contains(name.toLowerCase(Locale.ROOT))
                  && context.codec().isForwarded(name)) {
                headers.add(name, value);
              }
            });
    OptionalLong remainingMillis =
        inbound.decoded().deadlineMillis().isPresent()
            ? OptionalLong.of(Math.max(1, inbound.deadlineAt() - context.clock().millis()))
            : OptionalLong.empty();
    context
        .codec()
        .writeTargetRequest(
            headers,
            new HeaderCodec.TargetRequestHeaders(
                remainingMillis,
                targetId,
                inbound.organisation().map(Organisation::name),
                lastEventId));
    if (inbound.body().length() > 0 || inbound.headers().contains(CONTENT_LENGTH)) {
      headers.set(CONTENT_LENGTH, String.valueOf(inbound.body().length()));
    }
    return headers;
  }
}
