package org.almondslip.standins;

import java.util.Arrays;
import java.util.Optional;
import java.util.stream.Collectors;
import org.almondslip.settings.Section;
import org.almondslip.standins.platform.InstanceListStandin;
import org.almondslip.standins.platform.ObjectStoreStandin;
import org.almondslip.standins.platform.TableServiceStandin;
import org.almondslip.standins.target.EngineSettings;
import org.almondslip.standins.target.LinkSettings;
import org.almondslip.standins.target.ServiceSettings;

/** Kinds of stand-ins; each reads its own settings. */
public enum StandinKind {
  /** Model engine that streams. */
  MODEL_ENGINE("model-engine") {
    @Override
    public Standin.Factory read(String name, Section section) {
      return EngineSettings.read(name, section);
    }
  },
  /** Plain HTTP service that records its runs. */
  PLAIN_SERVICE("plain-service") {
    @Override
    public Standin.Factory read(String name, Section section) {
      return ServiceSettings.read(name, section);
    }
  },
  /** TCP relay with delay and faults. */
  LINK("link") {
    @Override
    public Standin.Factory read(String name, Section section) {
      return LinkSettings.read(name, section);
    }
  },
  /** Table service of the platform. */
  TABLE_SERVICE("table-service") {
    @Override
    public Standin.Factory read(String name, Section section) {
      return TableServiceStandin.read(name, section);
    }
  },
  /** Object store of the platform. */
  OBJECT_STORE("object-store") {
    @Override
    public Standin.Factory read(String name, Section section) {
      return ObjectStoreStandin.read(name, section);
    }
  },
  /** Instance list of the platform. */
  INSTANCE_LIST("instance-list") {
    @Override
    public Standin.Factory read(String name, Section section) {
      return InstanceListStandin.read(name, section);
    }
  };

  /** Name in the settings. */
  private final String label;

  /**
   * Creates a kind.
   *
   * @param label the name in the settings
   */
  StandinKind(String label) {
    this.label = label;
  }

  /**
   * Reads the settings of a stand-in of this kind. Faults become findings of the section.
   *
   * @param name the name of the stand-in
   * @param section its section of the settings
   * @return a factory, only used when there is no finding
   */
  public abstract Standin.Factory read(String name, Section section);

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
   * Lists the names of all kinds.
   *
   * @return the names, separated by commas
   */
  public static String labels() {
    return Arrays.stream(values()).map(kind -> kind.label).collect(Collectors.joining(", "));
  }
}
