package org.almondslip.standins;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.almondslip.process.Launcher;
import org.almondslip.process.Program;
import org.almondslip.resource.Closer;
import org.almondslip.settings.Section;

/** Entry point of the program that runs the stand-ins named in its settings. */
public final class StandinsMain implements Program<List<Function<Vertx, Standin>>> {

  /** Logger of this class. */
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

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
  public List<Function<Vertx, Standin>> read(Section section) {
    section.optionalText("instance");
    section.optionalText("region");
    List<Function<Vertx, Standin>> factories = new ArrayList<>();
    for (Section entry : section.sections("standins")) {
      Optional<StandinKind> kind = StandinKind.ofLabel(entry.text("kind"));
      if (kind.isPresent()) {
        factories.add(kind.get().read(entry));
      } else {
        entry.report("kind", "must be one of " + StandinKind.labels());
      }
    }
    return factories;
  }

  @Override
  public Running start(List<Function<Vertx, Standin>> factories) {
    Closer closer = new Closer();
    Vertx vertx = Vertx.vertx();
    closer.register(() -> vertx.close().toCompletionStage().toCompletableFuture().join());
    for (Function<Vertx, Standin> factory : factories) {
      Standin standin = closer.register(factory.apply(vertx));
      logger.atInfo().log("stand-in %s listens on %s", standin.name(), standin.start());
    }
    return closer::close;
  }
}
