package org.almondslip.router;

import java.util.List;
import org.almondslip.catalog.Catalog;
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
  public RouterSettings read(Section section) {
    return RouterSettings.of(section);
  }

  @Override
  public Running start(RouterSettings settings) {
    Router router =
        new Router(
            settings, Clock.Standard.SYSTEM, new FleetSource.Fixed(Catalog.EMPTY, List.of()));
    router.start();
    return router;
  }
}
