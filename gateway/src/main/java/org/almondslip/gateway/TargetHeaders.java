package org.almondslip.gateway;

import io.vertx.core.MultiMap;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.almondslip.directory.Organisation;

/** Headers of a request for a target. */
final class TargetHeaders {

  /** Header of the length of a body. */
  private static final String LENGTH = "Content-Length";

  /** Not instantiable. */
  private TargetHeaders() {}

  /**
   * Returns the headers of the caller that concern the target, and those of this router.
   *
   * @param call the request
   * @param parts what the request needs of its router
   * @param target the id of the target
   * @param lastEventId the id of the last event that was passed on
   * @return the headers
   */
  static MultiMap of(
      CallerCall call, GatewayParts parts, String target, Optional<String> lastEventId) {
    MultiMap headers = MultiMap.caseInsensitiveMultiMap();
    Set<String> declared = ConnectionHeaders.declared(call.headers());
    call.headers()
        .forEach(
            (name, value) -> {
              if (!ConnectionHeaders.isConnectionHeader(name)
                  && !declared.contains(name.toLowerCase(Locale.ROOT))
                  && parts.codec().isForwarded(name)) {
                headers.add(name, value);
              }
            });
    OptionalLong rest =
        call.decoded().deadlineMillis().isPresent()
            ? OptionalLong.of(Math.max(1, call.deadlineAt() - parts.clock().millis()))
            : OptionalLong.empty();
    parts
        .codec()
        .writeTargetRequest(
            headers,
            new HeaderCodec.TargetRequestHeaders(
                rest, target, call.organisation().map(Organisation::name), lastEventId));
    if (call.body().length() > 0 || call.headers().contains(LENGTH)) {
      headers.set(LENGTH, String.valueOf(call.body().length()));
    }
    return headers;
  }
}
