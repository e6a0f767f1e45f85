package org.almondslip.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.EnumMap;
import java.util.Map;
import org.almondslip.dispatch.Exclusion;
import org.almondslip.logging.JsonLines;
import org.almondslip.placement.TargetLoad;

/** Logs and counts the requests that region rules and evacuations have kept from targets. */
final class ResidencyLog {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Refused requests by reason. */
  private final Map<Exclusion, Long> refused = new EnumMap<>(Exclusion.class);

  /** Sends withheld after the connection was established, by reason. */
  private final Map<Exclusion, Long> withheld = new EnumMap<>(Exclusion.class);

  /** Counts a request that is refused since no target is left for it. */
  void onRefused(Exclusion reason) {
    refused.merge(reason, 1L, Long::sum);
  }

  /**
   * Logs and counts a send that is withheld after the connection was established.
   *
   * @param inbound the request
   * @param target the target
   * @param reason why the target must not get the request
   */
  void onWithheld(InboundRequest inbound, TargetLoad target, Exclusion reason) {
    withheld.merge(reason, 1L, Long::sum);
    logger
        .atInfo()
        .with(JsonLines.REQUEST_ID, inbound.decoded().requestId())
        .with(JsonLines.ORGANISATION, inbound.organisationName())
        .log(
            "withheld from target %s in data centre %s: %s",
            target.record().id(), target.record().dataCentre(), reason.label());
  }

  /** Returns the number of refused requests by reason. */
  Map<Exclusion, Long> refused() {
    return refused;
  }

  /** Returns the number of withheld sends by reason. */
  Map<Exclusion, Long> withheld() {
    return withheld;
  }
}
