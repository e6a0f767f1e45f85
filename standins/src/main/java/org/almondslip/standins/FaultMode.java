package org.almondslip.standins;

import java.util.Arrays;
import java.util.Optional;

/** What goes wrong with a request at a stand-in. */
public enum FaultMode {
  /** The request is not run and answered with status 503. */
  FAIL("fail", false),
  /** The request is run and answered after a delay. */
  SLOW("slow", true),
  /** The request is run and its connection is closed without an answer. */
  LOSE("lose", true),
  /** The request is not run and never answered. */
  SILENT("silent", false),
  /** Connections that were open when the fault was set are never answered; new ones work. */
  SILENT_OPEN("silent-open", false);

  /** Name in the JSON form. */
  private final String label;

  /** Whether the request is run. */
  private final boolean runs;

  /**
   * Creates a mode.
   *
   * @param label the name in the JSON form
   * @param runs whether the request is run
   */
  FaultMode(String label, boolean runs) {
    this.label = label;
    this.runs = runs;
  }

  /**
   * Returns the name in the JSON form.
   *
   * @return the name
   */
  public String label() {
    return label;
  }

  /**
   * Returns whether the request is run.
   *
   * @return true when it takes effect
   */
  public boolean runs() {
    return runs;
  }

  /**
   * Finds a mode by its name.
   *
   * @param label the name
   * @return the mode, or empty when there is none
   */
  public static Optional<FaultMode> ofLabel(String label) {
    return Arrays.stream(values()).filter(mode -> mode.label.equals(label)).findFirst();
  }
}
