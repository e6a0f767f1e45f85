package org.almondslip.router;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Locale;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.almondslip.catalog.TicketApplier;
import org.almondslip.membership.Member;
import org.almondslip.platform.FleetView;
import org.almondslip.router.admin.AdminServer;
import org.almondslip.router.admin.AdminService;
import org.almondslip.router.admin.OperatorKey;
import org.almondslip.routing.RoutingStats;
import org.almondslip.time.Clock;
import org.apache.commons.rng.UniformRandomProvider;

/** The operators' interface of a router and the status that it shows. */
final class Operators {

  /** Settings of the router. */
  private final RouterSettings settings;

  /** Catalog and members. */
  private final FleetView view;

  /** State of the router. */
  private final Supplier<RoutingStats> stats;

  /**
   * Creates the status of a router.
   *
   * @param settings the settings of the router
   * @param view the catalog and the members
   * @param stats the state of the router
   */
  Operators(RouterSettings settings, FleetView view, Supplier<RoutingStats> stats) {
    this.settings = settings;
    this.view = view;
    this.stats = stats;
  }

  /**
   * Creates the server of the operators' interface.
   *
   * @param vertx the event loop
   * @param clock the source of time
   * @param random the source of jitter
   * @param decision runs actions on the decision thread
   * @return a server that does not listen yet
   */
  AdminServer toServer(Vertx vertx, Clock clock, UniformRandomProvider random, Executor decision) {
    TicketApplier applier = new TicketApplier(view.tables(), view.sync(), clock, random);
    AdminService service =
        new AdminService(decision, applier, view.sync(), view.tables(), this::status);
    return new AdminServer(vertx, OperatorKey.ofSecret(settings.operatorKey()), service);
  }

  /**
   * Describes this router and the fleet as it sees it.
   *
   * @return the description
   */
  private JsonObject status() {
    JsonArray members = new JsonArray();
    for (Member member : view.members()) {
      members.add(
          new JsonObject()
              .put("instance", member.instanceId())
              .put("role", member.role().name().toLowerCase(Locale.ROOT))
              .put("region", member.region())
              .put("data_centre", member.dataCentre())
              .put("target", member.target())
              .put("leaving", member.leaving()));
    }
    RoutingStats current = stats.get();
    return new JsonObject()
        .put("instance", settings.instance())
        .put("region", settings.region())
        .put("revision", view.catalog().revision())
        .put("waiting", current.waiting())
        .put("running", current.inFlight())
        .put("members", members);
  }
}
