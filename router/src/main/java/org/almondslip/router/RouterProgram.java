package org.almondslip.router;

import org.almondslip.process.Program;
import org.almondslip.settings.Section;
import org.almondslip.time.Clock;

/** Program of a router. */
final class RouterProgram implements Program<RouterSettings> {

  @Override
  public String name() {
    return "almondslip-router";
  }

  @Override
  public RouterSettings readSettings(Section section) {
    return RouterSettings.of(section);
  }

  @Override
  public Running start(RouterSettings settings) {
    Clock clock = Clock.Standard.SYSTEM;
    Router router =
        new Router(
            settings,
            clock,
            (self, vertx, decision) ->
                new PlatformFleet(settings.platform(), clock, self, vertx, decision));
    router.start();
    return router;
  }
}
