package org.almondslip.standins;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.almondslip.process.Launcher;
import org.almondslip.process.Program;
import org.almondslip.resource.Closer;
import org.almondslip.settings.Section;

/** Program that runs the stand-ins named in its settings. */
public final class StandinsMain implements Program<List<Standin.Factory>> {

  /** Not instantiable from outside. */
  private StandinsMain() {}

  /**
   * Runs the program.
   *
   * @param args the command-line arguments
   */
  public static void main(String[] args) {
    Launcher.run(new StandinsMain(), args);
  }

  @Override
  public String name() {
    return "almondslip-standins";
  }

  @Override
  public List<Standin.Factory> readSettings(Section section) {
    section.optionalText("instance");
    section.optionalText("region");
    Section all = section.section("standins");
    List<Standin.Factory> factories = new ArrayList<>();
    for (String name : all.keys()) {
      Section one = all.section(name);
      Optional<StandinKind> kind = StandinKind.ofLabel(one.text("kind"));
      if (kind.isEmpty()) {
        one.report("kind", "must be one of " + StandinKind.labels());
      } else {
        factories.add(kind.get().read(name, one));
      }
    }
    if (factories.isEmpty()) {
      section.report("standins", "must name at least one stand-in");
    }
    return factories;
  }

  @Override
  public Program.Running start(List<Standin.Factory> factories) {
    Vertx vertx = Vertx.vertx();
    Closer closer = new Closer();
    closer.register(() -> vertx.close().toCompletionStage().toCompletableFuture().join());
    for (Standin.Factory factory : factories) {
      closer.register(factory.create(vertx)).start();
    }
    return closer::close;
  }
}
