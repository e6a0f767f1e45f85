package org.almondslip.standins;

import io.vertx.core.Vertx;
import java.util.Arrays;
import java.util.Optional;
import java.util.function.Function;
import org.almondslip.settings.Section;
import org.almondslip.standins.platform.InstanceListStandin;
import org.almondslip.standins.platform.ObjectStoreStandin;
import org.almondslip.standins.platform.TableServiceStandin;

/** Kinds of stand-ins; each reads its own settings. */
public enum StandinKind {
  /** The table service. */
  TABLE_SERVICE("table-service", TableServiceStandin::read),
  /** The object store. */
  OBJECT_STORE("object-store", ObjectStoreStandin::read),
  /** The instance list. */
  INSTANCE_LIST("instance-list", InstanceListStandin::read);

  /** Name in the settings. */
  private final String label;

  /** Reads the settings of one stand-in. */
  private final Function<Section, Function<Vertx, Standin>> reader;

  /**
   * Creates a kind.
   *
   * @param label the name in the settings
   * @param reader reads the settings of one stand-in
   */
  StandinKind(String label, Function<Section, Function<Vertx, Standin>> reader) {
    this.label = label;
    this.reader = reader;
  }

  /**
   * Finds a kind by its name.
   *
   * @param label the name
   * @return the kind, or empty when there is none
   */
  public static Optional<StandinKind> ofLabel(String label) {
    return Arrays.stream(values()).filter(kind -> kind.label.equals(label)).findFirst();
  }

  /**
   * Reads the settings of one stand-in; faults become findings.
   *
   * @param section the settings
   * @return creates the stand-in
   */
  public Function<Vertx, Standin> read(Section section) {
    return reader.apply(section);
  }

  /**
   * Returns the names of all kinds.
   *
   * @return the names, separated by commas
   */
  public static String labels() {
    return String.join(", ", Arrays.stream(values()).map(kind -> kind.label).toList());
  }
}
